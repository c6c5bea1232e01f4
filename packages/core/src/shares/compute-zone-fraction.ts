import {type Node} from '../node/node.js';

/**
 * Computes the usable fraction of an availability zone's slots: 0 while it is withdrawn; once it
 * is restored, the fraction grows linearly to 1 over `zones.<name>.limits.returnMs`.
 *
 * @param node - the node
 * @param zone - name of the availability zone; one that is not in the catalogue is in service
 * @param at - now, in milliseconds
 * @returns a fraction from 0 to 1
 * @example
 * if (computeZoneFraction(node, instance.zone, at) === 0) skip(instance);
 */
export function computeZoneFraction(node: Node, zone: string, at: number): number {
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
