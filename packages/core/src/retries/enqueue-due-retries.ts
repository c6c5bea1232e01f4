import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {enqueueAndDispatch} from '../tasks/enqueue-and-dispatch.js';

/**
 * Queues the tasks whose retry is due.
 *
 * @param node - the node, updated in place
 * @param event - the tick
 * @returns the effects
 * @example
 * enqueueDueRetries(node, {type: 'tick', at: 100});
 */
export function enqueueDueRetries(node: Node, event: EventOf<'tick'>): Effect[] {
	const {scheduledRetries} = node.retries;
	const effects: Effect[] = [];
	for (let next = scheduledRetries.peek(); next !== undefined && next.at <= event.at; next = scheduledRetries.peek()) {
		scheduledRetries.pop();
		const task = node.tasks.byId.get(next.taskId);
		if (task?.state === 'waiting') {
			effects.push(...enqueueAndDispatch(node, task, event.at));
		}
	}

	return effects;
}
