import {type Node} from '../node/node.js';
import {decideFreshness} from './decide-freshness.js';

/**
 * Updates the time until which the node's configuration is known to have been current. The time never
 * decreases: later reports do not invalidate an earlier confirmation.
 *
 * @param node - the node, updated in place
 * @param at - now, in milliseconds
 * @example
 * updateFreshness(node, event.at);
 */
export function updateFreshness(node: Node, at: number): void {
	const {freshness, membership, snapshot} = node;
	const own = {revision: snapshot.revision, storeContactAt: freshness.storeContactAt};
	const decision = decideFreshness(own, [...membership.records.keys()], membership.reports, {self: node.id, at});
	freshness.currentAt = Math.max(freshness.currentAt, decision.currentAt);
	freshness.outageConfirmedAt = decision.outageConfirmedAt;
}
