import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {correctionSpreadLimitMs, correctionSpreadMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {acceptEntries} from './accept-entries.js';
import {reconcileStore} from './reconcile-store.js';

/**
 * Compares the accepted catalogue with what the store shows after a change: newer entries come
 * into force, and a correction is planned when the store has lost entries or has direct writes.
 *
 * @param node - the node, updated in place
 * @param at - now, in milliseconds
 * @param changed - the changed paths, by default all
 * @returns the reports
 * @example
 * const effects = refreshCatalogue(node, event.at, ['teams/main']);
 */
export function refreshCatalogue(node: Node, at: number, changed?: readonly string[]): Effect[] {
	const {catalogue} = node;
	const {prefix, accepted, view} = catalogue;
	if (prefix === undefined) {
		return [];
	}

	let found = reconcileStore(accepted, view, prefix, changed);
	// Each edit raises the head by one; a larger step means that entries outside this change belong to it.
	if (changed !== undefined && found.headRevision !== accepted.revision + found.newer.length) {
		found = reconcileStore(accepted, view, prefix);
	}

	const effects = found.headRevision > accepted.revision ? acceptEntries(node, found.newer, found.headRevision, at) : [];
	const needed = found.lost.length > 0 || found.direct.length > 0 || found.headRevision < accepted.revision;
	if (needed) {
		const spread = Math.min(correctionSpreadLimitMs, correctionSpreadMs * node.membership.records.size);
		catalogue.correctAt ??= at + (spread === 0 ? 0 : uniformInt(node.random, 0, spread));
	}

	return effects;
}
