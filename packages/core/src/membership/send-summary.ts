import {summaryIntervalMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {describeDemand} from '../shares/describe-demand.js';
import {type Summary} from './message.js';

/**
 * Sends the node's summary to its peers when the interval has passed.
 *
 * @param node - the node, updated in place
 * @param event - the tick
 * @returns one `peer-send` for each peer
 * @example
 * sendSummary(node, {type: 'tick', at: 300});
 */
export function sendSummary(node: Node, event: EventOf<'tick'>): Effect[] {
	const {membership, freshness} = node;
	if (event.at - membership.sentAt < summaryIntervalMs) {
		return [];
	}

	membership.sentAt = event.at;
	membership.sequence += 1;
	const message: Summary = {
		type: 'summary',
		member: node.id,
		zone: node.zone,
		sequence: membership.sequence,
		revision: node.snapshot.revision,
		...(Number.isFinite(freshness.confirmedAt) && {storeContactAgeMs: Math.max(0, event.at - freshness.confirmedAt)}),
		demand: describeDemand(node),
	};
	return membership.peers.map(to => ({type: 'peer-send', to, message}));
}
