import {clockDriftMarginMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether the node's own member record is certain to be in the store. The lease is measured from
 * the time at which its last successful grant or renewal was sent, less the clock drift margin.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether the lease cannot have expired
 * @example
 * if (!isMemberLeaseValid(node, at) && !isStoreOutageConfirmed(node, at)) stopStartingWork();
 */
export function isMemberLeaseValid(node: Node, at: number): boolean {
	const {registered, leaseValidFrom, leaseTtlMs} = node.membership.registration;
	return registered && at < leaseValidFrom + leaseTtlMs - clockDriftMarginMs;
}
