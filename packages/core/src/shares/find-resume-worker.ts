import {type Node, type Task} from '../node/node.js';
import {type Worker} from '../placement/placement.js';
import {computeZoneFraction} from './compute-zone-fraction.js';

/**
 * Finds the worker that holds a checkpointed task's progress.
 *
 * @param node - the node
 * @param task - the task
 * @param at - now, in milliseconds
 * @returns the worker, or `undefined` when there is no progress or its worker is out of service
 * @example
 * const worker = findResumeWorker(node, task, at) ?? chooseWorker(node, task, at);
 */
export function findResumeWorker(node: Node, task: Task, at: number): Worker | undefined {
	const worker = task.resume === undefined ? undefined : node.placement.workers.get(task.resume.workerId);
	return worker?.instance.state === 'live' && computeZoneFraction(node, worker.instance.zone, at) > 0 ? worker : undefined;
}
