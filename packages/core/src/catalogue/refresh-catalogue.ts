import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {maximumCorrectionJitterMs, correctionJitterPerMemberMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {acceptEntries} from './accept-entries.js';
import {reconcileStore} from './reconcile-store.js';

/**
 * Reconciles the accepted catalogue with the view after a change: newer entries come into force, and
 * a correction is scheduled when the store has lost entries or contains direct writes.
 *
 * @param node - the node, updated in place
 * @param at - now, in milliseconds
 * @param changed - paths to compare, by default all
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

	let reconciliation = reconcileStore(accepted, view, prefix, changed);
	// Each edit raises the head by one; a larger step means that entries outside this change have changed too.
	if (changed !== undefined && reconciliation.headRevision !== accepted.revision + reconciliation.newer.length) {
		reconciliation = reconcileStore(accepted, view, prefix);
	}

	const effects = reconciliation.headRevision > accepted.revision ? acceptEntries(node, reconciliation.newer, reconciliation.headRevision, at) : [];
	const needsCorrection = reconciliation.lost.length > 0 || reconciliation.direct.length > 0 || reconciliation.headRevision < accepted.revision;
	if (needsCorrection) {
		const jitterLimitMs = Math.min(maximumCorrectionJitterMs, correctionJitterPerMemberMs * node.membership.records.size);
		catalogue.correctionDueAt ??= at + (jitterLimitMs === 0 ? 0 : uniformInt(node.random, 0, jitterLimitMs));
	}

	return effects;
}
