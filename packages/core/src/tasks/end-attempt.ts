import {type Attempt, type Node, type Task} from '../node/node.js';
import {releaseSlot} from '../limits/release-slot.js';
import {recordAttemptEnd} from '../shares/record-attempt-end.js';

/**
 * Ends an attempt and frees its slots at the worker, in the pool and under the team's limit.
 *
 * @param node - the node, updated in place
 * @param attemptId - identifier of the attempt
 * @returns the attempt with its task, or `undefined` when it had already ended
 * @example
 * const ended = endAttempt(node, 'a-1');
 */
export function endAttempt(node: Node, attemptId: string): {attempt: Attempt; task: Task} | undefined {
	const attempt = node.tasks.attempts.get(attemptId);
	const task = attempt === undefined ? undefined : node.tasks.byId.get(attempt.taskId);
	if (attempt === undefined || task === undefined) {
		return undefined;
	}

	node.tasks.attempts.delete(attemptId);
	delete task.attemptId;
	releaseSlot(node, task.team);
	recordAttemptEnd(node, task);
	const worker = node.placement.workers.get(attempt.workerId);
	if (worker !== undefined && worker.running > 0) {
		worker.running -= 1;
	}

	return {attempt, task};
}
