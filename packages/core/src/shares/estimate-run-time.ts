import {initialRunTimeMs} from '../constants.js';
import {type Node, type Task} from '../node/node.js';

/**
 * Estimates the run time of a task by the mean of the finished tasks of its queue. Run times
 * declared in advance are not used, as they are far off. Until the first observation, the initial value of the class is used.
 *
 * @param node - the node
 * @param task - the task
 * @returns milliseconds
 * @example
 * const cost = estimateRunTime(node, task);
 */
export function estimateRunTime(node: Node, task: Task): number {
	return node.shares.runTimes.get(task.queue)?.meanMs ?? initialRunTimeMs[task.class];
}
