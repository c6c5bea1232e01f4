import {claimTimeoutMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {endTask} from '../tasks/end-task.js';
import {enqueueAndDispatch} from '../tasks/enqueue-and-dispatch.js';
import {flushClaims} from './flush-claims.js';

/**
 * Ends the wait of requests whose claim was not recorded within the time-out, and writes pending updates.
 * A repeatable request then runs although its claim is not recorded; any other is refused.
 *
 * @param node - the node, updated in place
 * @param event - the tick
 * @returns starts and refusals of the requests that timed out, and the next write
 * @example
 * tickClaims(node, {type: 'tick', at: 100});
 */
export function tickClaims(node: Node, event: EventOf<'tick'>): Effect[] {
	const {at} = event;
	const effects: Effect[] = [];
	// The map is in order of admission, so the search ends at the first task within the time-out.
	for (const taskId of node.deduplication.active.values()) {
		const task = node.tasks.byId.get(taskId);
		if (task !== undefined && task.arrivedAt + claimTimeoutMs > at) {
			break;
		}

		if (task?.state === 'claiming') {
			effects.push(...(task.repeatable ? enqueueAndDispatch(node, task, at) : endTask(node, task, {type: 'refused', reason: 'claim-unavailable'}, at)));
		}
	}

	effects.push(...flushClaims(node, at));
	return effects;
}
