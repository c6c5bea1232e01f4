import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {maximumCorrectionJitterMs, correctionJitterPerMemberMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {acceptEntries} from './accept-entries.js';
import {compareWithStore} from './compare-with-store.js';

/**
 * Reconciles the accepted catalogue with the view after a change: newer entries are accepted, and
 * a correction is scheduled when the store has lost entries or contains direct writes.
 *
 * @param node - the node, updated in place
 * @param at - now, in milliseconds
 * @param changed - paths to compare, by default all
 * @returns the log report of a newer or invalid catalogue
 * @example
 * const effects = refreshCatalogue(node, event.at, ['teams/main']);
 */
export function refreshCatalogue(node: Node, at: number, changed?: readonly string[]): Effect[] {
	const {catalogue} = node;
	const {prefix, accepted, view} = catalogue;
	if (prefix === undefined) {
		return [];
	}

	let differences = compareWithStore(accepted, view, prefix, changed);
	// Each edit raises the head by one; a larger step means that entries outside this change have changed too.
	if (changed !== undefined && differences.headRevision !== accepted.revision + differences.newer.length) {
		differences = compareWithStore(accepted, view, prefix);
	}

	const effects = differences.headRevision > accepted.revision ? acceptEntries(node, differences.newer, differences.headRevision, at) : [];
	const needsCorrection = differences.lost.length > 0 || differences.directWrites.length > 0 || differences.headRevision < accepted.revision;
	if (needsCorrection) {
		const jitterLimitMs = Math.min(maximumCorrectionJitterMs, correctionJitterPerMemberMs * node.membership.records.size);
		catalogue.correctionDueAt ??= at + (jitterLimitMs === 0 ? 0 : uniformInt(node.random, 0, jitterLimitMs));
	}

	return effects;
}
