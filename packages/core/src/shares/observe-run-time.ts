import {runTimeWeight} from '../constants.js';
import {type Node, type Task} from '../node/node.js';

/**
 * Updates the mean run time of a queue with a finished task: a plain average at first, later an
 * exponential moving average.
 *
 * @param node - the node, updated in place
 * @param task - the finished task
 * @param ranMs - total run time of the task in milliseconds, without the waits after checkpoints
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
