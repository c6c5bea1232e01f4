import {type Node} from '../node/node.js';
import {computeZoneFraction} from './compute-zone-fraction.js';

/**
 * Counts the usable slots of a pool: those of its live instances, without withdrawn availability zones
 * and with only a fraction of the slots of a zone that ramps up after it was restored.
 *
 * @param node - the node
 * @param pool - name of the pool
 * @param at - now, in milliseconds
 * @returns slots; not a whole number while an availability zone ramps up
 * @example
 * const slots = countCapacity(node, 'web', at);
 */
export function countCapacity(node: Node, pool: string, at: number): number {
	const slots = node.snapshot.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0;
	let capacity = 0;
	for (const id of node.placement.byPool.get(pool) ?? []) {
		const instance = node.placement.workers.get(id)?.instance;
		if (instance?.state === 'live') {
			capacity += slots * computeZoneFraction(node, instance.zone, at);
		}
	}

	return capacity;
}
