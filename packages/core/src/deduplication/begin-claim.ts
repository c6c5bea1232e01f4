import {maximumPendingClaims} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node, type Task} from '../node/node.js';
import {endTask} from '../tasks/end-task.js';
import {type ClaimRecord} from './deduplication.js';
import {describeClaim} from './describe-claim.js';
import {flushClaims} from './flush-claims.js';
import {locateClaim} from './locate-claim.js';

function findLocal(node: Node, task: Task, {key, fingerprint}: ClaimRecord, at: number): Effect[] | undefined {
	const {active, answers} = node.deduplication;
	const other = node.tasks.byId.get(active.get(key) ?? '');
	if (other !== undefined) {
		return endTask(node, task, {type: 'refused', reason: describeClaim(node, other).fingerprint === fingerprint ? 'request-in-progress' : 'idempotency-key-reused'}, at);
	}

	const kept = answers.get(key);
	if (kept === undefined || kept.expiresAt <= at) {
		return undefined;
	}

	return endTask(node, task, kept.fingerprint === fingerprint
		? {type: 'replayed', answer: kept.answer}
		: {type: 'refused', reason: 'idempotency-key-reused'}, at);
}

/**
 * Claims the idempotency key of an admitted task; the task starts when the claim is recorded.
 *
 * @param node - the node, updated in place
 * @param task - a task with an idempotency key
 * @param at - now, in milliseconds
 * @returns the answer or refusal that this node already knows, or the store write
 * @example
 * const effects = beginClaim(node, task, at);
 */
export function beginClaim(node: Node, task: Task, at: number): Effect[] {
	const {active, pending, prefix} = node.deduplication;
	const record = describeClaim(node, task);
	const known = findLocal(node, task, record, at);
	if (known !== undefined) {
		return known;
	}

	if (pending.size >= maximumPendingClaims) {
		return endTask(node, task, {type: 'refused', reason: 'claim-unavailable'}, at);
	}

	active.set(record.key, task.id);
	task.state = 'claiming';
	pending.set(record.claim, {
		type: 'claim', taskId: task.id, storeKey: locateClaim(prefix, record.key), record, sent: 0,
	});
	return flushClaims(node, at);
}
