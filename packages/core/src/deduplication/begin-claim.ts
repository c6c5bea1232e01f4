import {maximumPendingClaims} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node, type Task} from '../node/node.js';
import {endTask} from '../tasks/end-task.js';
import {type ClaimRecord} from './deduplication.js';
import {createClaimRecord} from './create-claim-record.js';
import {flushClaims} from './flush-claims.js';
import {buildBucketKey} from './build-bucket-key.js';

function answerLocally(node: Node, task: Task, {key, fingerprint}: ClaimRecord, at: number): Effect[] | undefined {
	const {active, cachedAnswers} = node.deduplication;
	const other = node.tasks.byId.get(active.get(key) ?? '');
	if (other !== undefined) {
		return endTask(node, task, {type: 'refused', reason: createClaimRecord(node, other).fingerprint === fingerprint ? 'request-in-progress' : 'idempotency-key-reused'}, at);
	}

	const cached = cachedAnswers.get(key);
	if (cached === undefined || cached.expiresAt <= at) {
		return undefined;
	}

	return endTask(node, task, cached.fingerprint === fingerprint
		? {type: 'replayed', answer: cached.answer}
		: {type: 'refused', reason: 'idempotency-key-reused'}, at);
}

/**
 * Claims the idempotency key of an admitted task. The task is queued once the claim is recorded in the store.
 *
 * @param node - the node, updated in place
 * @param task - a task with an idempotency key
 * @param at - now, in milliseconds
 * @returns the answer or refusal if this node knows of the first submission, otherwise the store write
 * @example
 * const effects = beginClaim(node, task, at);
 */
export function beginClaim(node: Node, task: Task, at: number): Effect[] {
	const {active, pending, prefix} = node.deduplication;
	const record = createClaimRecord(node, task);
	const known = answerLocally(node, task, record, at);
	if (known !== undefined) {
		return known;
	}

	if (pending.size >= maximumPendingClaims) {
		return endTask(node, task, {type: 'refused', reason: 'claim-unavailable'}, at);
	}

	active.set(record.key, task.id);
	task.state = 'claiming';
	pending.set(record.claim, {
		type: 'claim', taskId: task.id, storeKey: buildBucketKey(prefix, record.key), record, writesSent: 0,
	});
	return flushClaims(node, at);
}
