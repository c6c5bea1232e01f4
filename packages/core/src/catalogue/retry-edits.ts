import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {editTimeoutMs, storeBackoffBaseMs} from '../constants.js';
import {isFresh} from '../freshness/is-fresh.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {answerEdit} from './answer-edit.js';
import {applyEntries} from './apply-entries.js';
import {buildEdit} from './build-edit.js';
import {buildCatalogueKeys} from './build-catalogue-keys.js';
import {type PendingEdit} from './catalogue-state.js';
import {createEditedEntry} from './create-edited-entry.js';
import {listDifferences} from './list-differences.js';
import {parseHead} from './parse-head.js';

function sendEdit(node: Node, pending: PendingEdit, at: number): Effect[] {
	const {catalogue} = node;
	const {accepted, view, prefix = ''} = catalogue;
	const {edit} = pending;
	if (pending.transaction === undefined) {
		const previous = accepted.entries.get(`${edit.section}/${edit.name}`);
		if (previous !== undefined && (previous.requestId === edit.requestId || previous.earlier.includes(edit.requestId))) {
			return answerEdit(node, edit.requestId, {type: 'accepted', revision: previous.revision});
		}

		if (previous !== undefined && previous.revision > edit.baseRevision) {
			return answerEdit(node, edit.requestId, {
				type: 'conflict', revision: previous.revision, operator: previous.operator, difference: listDifferences(previous.value, edit.value),
			});
		}

		const headRevision = parseHead(view.get(buildCatalogueKeys(prefix).head)?.value);
		if (!catalogue.listed || headRevision !== accepted.revision || !isFresh(node, at)) {
			// The edit is validated against the head, so a store that is behind or ahead of this node is reconciled first.
			catalogue.listingNeeded ||= headRevision !== accepted.revision;
			pending.retryAt = at + storeBackoffBaseMs;
			return [];
		}

		const entry = createEditedEntry(edit, accepted.revision + 1, previous);
		const applied = applyEntries(accepted, [entry], entry.revision);
		if (!applied.ok) {
			return answerEdit(node, edit.requestId, {type: 'invalid', problems: applied.problems});
		}

		pending.transaction = buildEdit(entry, view, prefix);
		pending.revision = entry.revision;
		pending.mayBeStored = false;
	}

	pending.inFlight = true;
	pending.retryAt = at + storeBackoffBaseMs + uniformInt(node.random, 0, storeBackoffBaseMs);
	return [{
		type: 'store-transact', purpose: 'catalogue', id: `edit-${edit.requestId}`, transaction: pending.transaction,
	}];
}

/**
 * Sends the edits that are due, and answers those that have timed out.
 *
 * @param node - the node, updated in place
 * @param at - now, in milliseconds
 * @returns the transactions and answers
 * @example
 * const effects = retryEdits(node, event.at);
 */
export function retryEdits(node: Node, at: number): Effect[] {
	const effects: Effect[] = [];
	for (const pending of node.catalogue.edits.values()) {
		if (pending.inFlight) {
			continue;
		}

		if (at - pending.startedAt > editTimeoutMs) {
			effects.push(...answerEdit(node, pending.edit.requestId, {type: pending.mayBeStored ? 'outcome-unknown' : 'unavailable'}));
		} else if (pending.retryAt <= at) {
			effects.push(...sendEdit(node, pending, at));
		}
	}

	return effects;
}
