import {clockDriftMarginMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node, type Task} from '../node/node.js';
import {type TaskEnding, endTask} from '../tasks/end-task.js';
import {listSummaries} from '../membership/list-summaries.js';
import {type ClaimRecord} from './deduplication.js';
import {createClaimRecord} from './create-claim-record.js';

/**
 * Tells whether the request of an open claim may still be running: its holder is another known member, and its
 * deadline has not passed. A claim of this node itself is not in progress, because `beginClaim` has already refused
 * duplicates of its running requests.
 */
function isInProgress(node: Node, record: ClaimRecord, at: number): boolean {
	if (record.holder === node.id || record.deadlineAt + clockDriftMarginMs < at + node.deduplication.clockOriginMs) {
		return false;
	}

	return node.placement.members.includes(record.holder) || listSummaries(node, at).some(summary => summary.member === record.holder);
}

function decideEnding(node: Node, task: Task, record: ClaimRecord, at: number): TaskEnding {
	if (record.fingerprint !== createClaimRecord(node, task).fingerprint) {
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
 * Answers a duplicate submission according to the claim of the first one.
 *
 * @param node - the node, updated in place
 * @param task - the duplicate submission
 * @param record - the claim recorded in the store
 * @param at - now, in milliseconds
 * @returns the recorded answer, or a refusal
 * @example
 * answerDuplicate(node, task, record, at);
 */
export function answerDuplicate(node: Node, task: Task, record: ClaimRecord, at: number): Effect[] {
	return endTask(node, task, decideEnding(node, task, record, at), at);
}
