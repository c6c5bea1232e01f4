import {type Node} from '../node/node.js';

/**
 * Measures the part of an availability zone's slots that may be used: none while it is withdrawn,
 * and after its return a part that grows evenly over `zones.<name>.limits.returnMs`.
 *
 * @param node - the node
 * @param zone - name of the availability zone; one that the catalogue does not name is in service
 * @param at - now, in milliseconds
 * @returns a part from 0 to 1
 * @example
 * if (measureZone(node, instance.zone, at) === 0) skip(instance);
 */
export function measureZone(node: Node, zone: string, at: number): number {
	const entry = node.snapshot.catalogue.zones[zone];
	if (entry === undefined) {
		return 1;
	}

	if (entry.withdrawn) {
		return 0;
	}

	const changedAt = node.shares.zones.get(zone)?.changedAt ?? Number.NEGATIVE_INFINITY;
	const elapsed = at - changedAt;
	return elapsed >= entry.limits.returnMs ? 1 : Math.max(0, elapsed / entry.limits.returnMs);
}
