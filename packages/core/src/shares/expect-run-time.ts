import {initialRunTimeMs} from '../constants.js';
import {type Node, type Task} from '../node/node.js';

/**
 * Expects the run time of a task from the finished tasks of its queue. Declared values are not
 * used, as they are far off; until the first observation a value of the class stands in.
 *
 * @param node - the node
 * @param task - the task
 * @returns milliseconds
 * @example
 * const cost = expectRunTime(node, task);
 */
export function expectRunTime(node: Node, task: Task): number {
	return node.shares.runTimes.get(task.queue)?.meanMs ?? initialRunTimeMs[task.class];
}
