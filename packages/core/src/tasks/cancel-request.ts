import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {removeTask} from '../shares/remove-task.js';
import {dispatchPool} from './dispatch-pool.js';
import {endAttempt} from './end-attempt.js';

/**
 * Frees what a request holds after its caller has gone away.
 *
 * @param node - the node, updated in place
 * @param event - the cancellation; an unknown request is ignored
 * @returns a cancellation for a running attempt, and starts of other tasks
 * @example
 * cancelRequest(node, {type: 'request-cancelled', at: 3, taskId: 'r-1'});
 */
export function cancelRequest(node: Node, event: EventOf<'request-cancelled'>): Effect[] {
	const task = node.tasks.byId.get(event.taskId);
	if (task === undefined) {
		return [];
	}

	const effects: Effect[] = [];
	removeTask(node, task);
	if (task.attemptId !== undefined) {
		const ended = endAttempt(node, task.attemptId);
		if (ended !== undefined) {
			effects.push({type: 'cancel-attempt', attemptId: ended.attempt.id, workerId: ended.attempt.workerId});
		}
	}

	node.tasks.byId.delete(task.id);
	return [...effects, ...dispatchPool(node, task.pool, event.at)];
}
