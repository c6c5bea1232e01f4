import {type Node} from '../node/node.js';

/**
 * Records when availability zones were withdrawn and restored. A zone that is in service when it
 * is first seen has no ramp-up.
 *
 * @param node - the node, updated in place
 * @param at - when the catalogue came into force, in milliseconds
 * @example
 * recordZoneChanges(node, at);
 */
export function recordZoneChanges(node: Node, at: number): void {
	for (const [name, {withdrawn}] of Object.entries(node.snapshot.catalogue.zones)) {
		const known = node.shares.zones.get(name);
		if (known === undefined) {
			node.shares.zones.set(name, {withdrawn, changedAt: Number.NEGATIVE_INFINITY});
		} else if (known.withdrawn !== withdrawn) {
			node.shares.zones.set(name, {withdrawn, changedAt: at});
		}
	}
}
