import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {answerEdit} from './answer-edit.js';
import {retryEdits} from './retry-edits.js';

/**
 * Starts an operator's edit of one entry; the effect `edit-answered` completes it. A second submission
 * with the same request identifier does not store the edit twice.
 *
 * @param node - the node, updated in place
 * @param event - the edit
 * @returns the transaction, or the answer
 * @example
 * editCatalogue(node, {type: 'edit-requested', at: 5, edit: {requestId: 'e-1', operator: 'ann', section: 'zones', name: 'zone-a', value, baseRevision: 7}});
 */
export function editCatalogue(node: Node, event: EventOf<'edit-requested'>): Effect[] {
	const {catalogue} = node;
	const {edit, at} = event;
	if (catalogue.edits.has(edit.requestId)) {
		return [];
	}

	if (catalogue.prefix === undefined) {
		return answerEdit(node, edit.requestId, {type: 'unavailable'});
	}

	catalogue.edits.set(edit.requestId, {
		edit, startedAt: at, retryAt: at, inFlight: false, transaction: undefined, revision: 0, mayBeStored: false,
	});
	return retryEdits(node, at);
}
