import {type Node, type Task} from '../node/node.js';
import {type ClaimRecord} from './deduplication.js';

/**
 * Creates the open claim record of a task. Its key includes the team, so that teams may use the same idempotency key.
 *
 * @param node - the node that holds the claim
 * @param task - a task with an idempotency key
 * @returns the record
 * @example
 * createClaimRecord(node, task).key; // 'team-a/order-7'
 */
export function createClaimRecord(node: Node, task: Task): ClaimRecord {
	return {
		key: `${task.team}/${task.idempotencyKey ?? ''}`,
		fingerprint: `${task.queue}/${task.fingerprint ?? ''}`,
		claim: `${node.id}/${task.id}`,
		holder: node.id,
		state: 'open',
		deadlineAt: Math.round(task.deadlineAt + node.deduplication.clockOriginMs),
	};
}
