import {type Counter} from '../node/counters.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {type EditResult} from './catalogue-state.js';

const resultCounters: Record<EditResult['type'], Counter> = {
	accepted: 'catalogue.edit-accepted',
	conflict: 'catalogue.edit-conflict',
	invalid: 'catalogue.edit-invalid',
	unavailable: 'catalogue.edit-unresolved',
	'outcome-unknown': 'catalogue.edit-unresolved',
};

/**
 * Completes an edit and answers the operator.
 *
 * @param node - the node, updated in place
 * @param requestId - request identifier of the edit
 * @param result - result of the edit
 * @returns the answer and the counter of its result
 * @example
 * answerEdit(node, 'edit-1', {type: 'unavailable'});
 */
export function answerEdit(node: Node, requestId: string, result: EditResult): Effect[] {
	node.catalogue.edits.delete(requestId);
	return [{type: 'count', counter: resultCounters[result.type]}, {type: 'edit-answered', requestId, result}];
}
