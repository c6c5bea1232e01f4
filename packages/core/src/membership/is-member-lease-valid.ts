import {clockDriftMarginMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether the node's own member record is surely in the store. The lease is measured from
 * the time at which the last successful call was sent, less the drift margin.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether the lease cannot have lapsed
 * @example
 * if (!isMemberLeaseValid(node, at) && !isStoreAwayForAll(node, at)) stopStartingWork();
 */
export function isMemberLeaseValid(node: Node, at: number): boolean {
	const {registered, leaseSentAt, leaseTtlMs} = node.membership.registration;
	return registered && at < leaseSentAt + leaseTtlMs - clockDriftMarginMs;
}
