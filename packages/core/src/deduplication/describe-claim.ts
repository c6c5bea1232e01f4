import {type Node, type Task} from '../node/node.js';
import {type ClaimRecord} from './deduplication.js';

/**
 * Describes the claim of a task as an open record. Idempotency keys of different teams are distinct.
 *
 * @param node - the node that holds the claim
 * @param task - a task with an idempotency key
 * @returns the record
 * @example
 * describeClaim(node, task).key; // 'team-a/order-7'
 */
export function describeClaim(node: Node, task: Task): ClaimRecord {
	return {
		key: `${task.team}/${task.idempotencyKey ?? ''}`,
		fingerprint: `${task.queue}/${task.fingerprint ?? ''}`,
		claim: `${node.id}/${task.id}`,
		holder: node.id,
		state: 'open',
		deadlineAt: Math.round(task.deadlineAt + node.deduplication.clockOriginMs),
	};
}
