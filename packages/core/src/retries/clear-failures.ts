import {type Node, type Task} from '../node/node.js';

/**
 * Clears the recorded failures of a job after it has succeeded.
 *
 * @param node - the node, updated in place
 * @param task - the task that succeeded
 * @example
 * clearFailures(node, task);
 */
export function clearFailures(node: Node, task: Task): void {
	if (task.fingerprint !== undefined && node.retries.failures.size > 0) {
		node.retries.failures.delete(`${task.queue}/${task.fingerprint}`);
	}
}
