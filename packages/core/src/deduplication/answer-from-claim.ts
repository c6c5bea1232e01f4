import {clockDriftMarginMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node, type Task} from '../node/node.js';
import {type TaskEnding, endTask} from '../tasks/end-task.js';
import {listSummaries} from '../membership/list-summaries.js';
import {type ClaimRecord} from './deduplication.js';
import {describeClaim} from './describe-claim.js';

/** An open claim is in progress while its holder is known and its deadline has not passed. */
function isInProgress(node: Node, record: ClaimRecord, at: number): boolean {
	if (record.holder === node.id || record.deadlineAt + clockDriftMarginMs < at + node.deduplication.clockOriginMs) {
		return false;
	}

	return node.placement.members.includes(record.holder) || listSummaries(node, at).some(summary => summary.member === record.holder);
}

function describeAnswer(node: Node, task: Task, record: ClaimRecord, at: number): TaskEnding {
	if (record.fingerprint !== describeClaim(node, task).fingerprint) {
		return {type: 'refused', reason: 'idempotency-key-reused'};
	}

	if (record.answer !== undefined) {
		return {type: 'replayed', answer: record.answer};
	}

	if (record.state === 'open' && isInProgress(node, record, at)) {
		return {type: 'refused', reason: 'request-in-progress'};
	}

	return {
		type: 'refused', reason: 'claim-outcome-unknown', ...(record.state === 'answered' && {detail: 'The request ran; its answer was not recorded'}),
	};
}

/**
 * Ends a second submission according to the claim of the first.
 *
 * @param node - the node, updated in place
 * @param task - the second submission
 * @param record - the claim that the store holds
 * @param at - now, in milliseconds
 * @returns the recorded answer, or a refusal
 * @example
 * answerFromClaim(node, task, record, at);
 */
export function answerFromClaim(node: Node, task: Task, record: ClaimRecord, at: number): Effect[] {
	return endTask(node, task, describeAnswer(node, task, record, at), at);
}
