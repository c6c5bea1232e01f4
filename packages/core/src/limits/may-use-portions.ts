import {type Node} from '../node/node.js';

/**
 * Tells whether a node may start tasks under its portions and renew task leases.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether its member lease is certainly valid, or a majority confirms the store to be unavailable to all
 * @example
 * if (mayUsePortions(node, at)) renewTaskLeases();
 */
export function mayUsePortions(node: Node, at: number): boolean {
	const {leaseValidUntil, storeOutageUntil} = node.limits.liveness;
	return at < Math.max(leaseValidUntil, storeOutageUntil);
}
