import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {hasReturnedPortions} from '../limits/has-returned-portions.js';
import {removeTask} from '../shares/remove-task.js';
import {dispatchPool} from './dispatch-pool.js';
import {refuseTask} from './refuse-task.js';

function expireTasks(node: Node, at: number): Effect[] {
	const effects: Effect[] = [];
	for (const task of node.tasks.byId.values()) {
		if (task.state === 'queued' && task.deadlineAt <= at) {
			removeTask(node, task);
			node.tasks.byId.delete(task.id);
			effects.push(refuseTask(task.id, 'deadline-exceeded'));
		}
	}

	return effects;
}

/**
 * Refuses waiting tasks past their deadline, starts what can start, and reports the end of a shutdown.
 *
 * @param node - the node, updated in place
 * @param event - the tick
 * @returns the effects
 * @example
 * tickTasks(node, {type: 'tick', at: 100});
 */
export function tickTasks(node: Node, event: EventOf<'tick'>): Effect[] {
	const effects = expireTasks(node, event.at);
	for (const pool of node.shares.pools.keys()) {
		effects.push(...dispatchPool(node, pool, event.at));
	}

	if (node.tasks.shuttingDown && !node.tasks.shutdownReported && node.tasks.byId.size === 0 && hasReturnedPortions(node, event.at)) {
		node.tasks.shutdownReported = true;
		effects.push({type: 'shutdown-finished'});
	}

	return effects;
}
