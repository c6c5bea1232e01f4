import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {queueTask} from '../tasks/queue-task.js';

/**
 * Queues the tasks whose retry is due.
 *
 * @param node - the node, updated in place
 * @param event - the tick
 * @returns the effects
 * @example
 * releaseRetries(node, {type: 'tick', at: 100});
 */
export function releaseRetries(node: Node, event: EventOf<'tick'>): Effect[] {
	const {waiting} = node.retries;
	const effects: Effect[] = [];
	for (let next = waiting.peek(); next !== undefined && next.at <= event.at; next = waiting.peek()) {
		waiting.pop();
		const task = node.tasks.byId.get(next.taskId);
		if (task?.state === 'waiting') {
			effects.push(...queueTask(node, task, event.at));
		}
	}

	return effects;
}
