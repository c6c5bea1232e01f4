import {type Effect} from '../node/effect.js';
import {type AttemptOutcome} from '../node/event.js';
import {type Node} from '../node/node.js';
import {type Worker} from './placement.js';

type Cause = Extract<AttemptOutcome, {type: 'not-started'}>['cause'];

const rejectionHandlers: Readonly<Partial<Record<Cause, (node: Node, worker: Worker, at: number) => Effect[]>>> = {
	'slots-full'(_node, worker, at) {
		worker.fullAt = at;
		return [];
	},
	leaving(_node, worker, at) {
		worker.leavingAt = at;
		return [{type: 'count', counter: 'worker.leaving', subject: worker.instance.id}];
	},
};

/**
 * Corrects the state of a worker after it rejected an attempt: a full worker is skipped for a short time,
 * and a leaving one gets no tasks, even if the instance list does not show it as leaving yet.
 *
 * @param node - the node, updated in place
 * @param workerId - the worker; an unknown one is ignored
 * @param cause - why the worker rejected the attempt
 * @param at - now, in milliseconds
 * @returns counts
 * @example
 * recordRejection(node, 'w-1', 'leaving', at);
 */
export function recordRejection(node: Node, workerId: string, cause: Cause, at: number): Effect[] {
	const worker = node.placement.workers.get(workerId);
	return worker === undefined ? [] : rejectionHandlers[cause]?.(node, worker, at) ?? [];
}
