import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';

/**
 * Replaces the worker table with a new instance list; counts of known workers are kept.
 *
 * @param node - the node, updated in place
 * @param event - the new list
 * @returns no effects
 * @example
 * recordInstances(node, {type: 'instances-listed', at: 0, instances: []});
 */
export function recordInstances(node: Node, event: EventOf<'instances-listed'>): Effect[] {
	const known = new Map(node.placement.workers);
	node.placement.workers.clear();
	node.placement.byPool.clear();
	for (const instance of event.instances) {
		const previous = known.get(instance.id);
		node.placement.workers.set(instance.id, {instance, running: previous?.running ?? 0, reported: previous?.reported ?? 0});
		const ids = node.placement.byPool.get(instance.pool) ?? [];
		ids.push(instance.id);
		node.placement.byPool.set(instance.pool, ids);
	}

	return [];
}
