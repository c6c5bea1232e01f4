import {type Node, type Task} from '../node/node.js';

/**
 * Schedules the next attempt of a task.
 *
 * @param node - the node, updated in place
 * @param task - a task without a running attempt
 * @param at - time of the next attempt, in milliseconds
 * @example
 * scheduleRetry(node, task, at + delayMs);
 */
export function scheduleRetry(node: Node, task: Task, at: number): void {
	task.state = 'waiting';
	node.retries.scheduledRetries.push({at, sequence: node.retries.nextSequence, taskId: task.id});
	node.retries.nextSequence += 1;
}
