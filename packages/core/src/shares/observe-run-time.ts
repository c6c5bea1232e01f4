import {runTimeWeight} from '../constants.js';
import {type Node, type Task} from '../node/node.js';

/**
 * Learns the run time of a queue from a finished task.
 *
 * @param node - the node, updated in place
 * @param task - the finished task
 * @param ranMs - time that the task ran in all, without waits between checkpoints
 * @example
 * observeRunTime(node, task, at - attempt.startedAt);
 */
export function observeRunTime(node: Node, task: Task, ranMs: number): void {
	const known = node.shares.runTimes.get(task.queue);
	if (known === undefined) {
		node.shares.runTimes.set(task.queue, {meanMs: ranMs, observations: 1});
		return;
	}

	known.observations += 1;
	known.meanMs += Math.max(runTimeWeight, 1 / known.observations) * (ranMs - known.meanMs);
}
