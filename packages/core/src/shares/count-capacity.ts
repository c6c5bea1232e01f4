import {type Node} from '../node/node.js';
import {measureZone} from './measure-zone.js';

/**
 * Counts the slots of a pool that may be used: those of live instances, less what withdrawn and
 * returning availability zones hold back.
 *
 * @param node - the node
 * @param pool - name of the pool
 * @param at - now, in milliseconds
 * @returns slots; a fraction while an availability zone returns
 * @example
 * const slots = countCapacity(node, 'web', at);
 */
export function countCapacity(node: Node, pool: string, at: number): number {
	const slots = node.snapshot.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0;
	let capacity = 0;
	for (const id of node.placement.byPool.get(pool) ?? []) {
		const instance = node.placement.workers.get(id)?.instance;
		if (instance?.state === 'live') {
			capacity += slots * measureZone(node, instance.zone, at);
		}
	}

	return capacity;
}
