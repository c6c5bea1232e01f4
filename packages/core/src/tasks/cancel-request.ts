import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {dispatchPool} from './dispatch-pool.js';
import {endAttempt} from './end-attempt.js';
import {endTask} from './end-task.js';

/**
 * Ends a request after its caller has disconnected, and frees its resources. A running attempt that may
 * not be repeated is not interrupted and keeps its slot until it ends.
 *
 * @param node - the node, updated in place
 * @param event - the cancellation; an unknown request is ignored
 * @returns a cancellation for a running attempt, and starts of other tasks
 * @example
 * cancelRequest(node, {type: 'request-cancelled', at: 3, taskId: 'r-1'});
 */
export function cancelRequest(node: Node, event: EventOf<'request-cancelled'>): Effect[] {
	const task = node.tasks.byId.get(event.taskId);
	if (task === undefined || task.callerSettled) {
		return [];
	}

	const effects: Effect[] = [];
	if (task.attemptId !== undefined) {
		if (!task.repeatable) {
			task.callerSettled = true;
			return [];
		}

		task.mayHaveRun = true;
		const ended = endAttempt(node, task.attemptId);
		if (ended !== undefined) {
			effects.push({type: 'cancel-attempt', attemptId: ended.attempt.id, workerId: ended.attempt.workerId});
		}
	}

	return [...effects, ...endTask(node, task, {type: 'caller-gone'}, event.at), ...dispatchPool(node, task.pool, event.at)];
}
