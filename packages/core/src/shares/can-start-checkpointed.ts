import {type Node, type Task} from '../node/node.js';
import {findResumeWorker} from './find-resume-worker.js';

/**
 * Tells whether a checkpointed task can start now. Its progress is kept by one worker, which must have a
 * free slot. Once that worker is gone, a repeatable task may start from the beginning on another one.
 *
 * @param node - the node
 * @param task - a checkpointed task
 * @param at - now, in milliseconds
 * @returns whether the task can start
 * @example
 * if (canStartCheckpointed(node, task, at)) start(task);
 */
export function canStartCheckpointed(node: Node, task: Task, at: number): boolean {
	const worker = findResumeWorker(node, task, at);
	if (worker === undefined) {
		return task.repeatable;
	}

	return at >= (task.resume?.notBefore ?? 0) && worker.running < (node.snapshot.catalogue.pools[task.pool]?.limits.slotsPerInstance ?? 0);
}
