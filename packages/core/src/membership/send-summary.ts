import {
	largeFleetSummaryIntervalMs, maximumNeighbours, maximumRelayedDigests, summaryIntervalMs, summaryRetentionMs,
} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {describeDemand} from '../shares/describe-demand.js';
import {type Digest, type Summary} from './message.js';

/** Digests of recently reported members in a fleet too large for all to be neighbours; successive summaries relay them round-robin. */
function listDigests(node: Node, at: number): Digest[] {
	const {membership} = node;
	if (membership.records.size <= maximumNeighbours + 1) {
		return [];
	}

	const known = [...membership.reports].filter(([, report]) => at - report.reportedAt <= summaryRetentionMs);
	const digests: Digest[] = [];
	const first = membership.nextRelayedReport;
	for (let step = 0; step < Math.min(maximumRelayedDigests, known.length); step++) {
		const element = known[(first + step) % known.length];
		if (element !== undefined) {
			const [member, {sequence, revision, reportedAt, storeContactAt}] = element;
			const contactAgeMs = Number.isFinite(storeContactAt) ? Math.ceil(Math.max(0, reportedAt - storeContactAt)) : -1;
			digests.push([member, sequence, revision, Math.ceil(Math.max(0, at - reportedAt)), contactAgeMs]);
		}
	}

	membership.nextRelayedReport = known.length === 0 ? 0 : (first + maximumRelayedDigests) % known.length;
	return digests;
}

function announceRevision(node: Node): Effect[] {
	const {membership, snapshot} = node;
	if (snapshot.revision === membership.announcedRevision) {
		return [];
	}

	membership.announcedRevision = snapshot.revision;
	return membership.neighbours.map(to => ({type: 'peer-send', to, message: {type: 'announcement', member: node.id, revision: snapshot.revision}}));
}

function recordSent(node: Node, at: number): void {
	const {membership} = node;
	membership.summarySentAt = at;
	membership.announcedRevision = node.snapshot.revision;
	membership.sequence += 1;
	membership.sentAtBySequence.set(membership.sequence, at);
	for (const [sequence, sentAt] of membership.sentAtBySequence) {
		if (at - sentAt <= summaryRetentionMs) {
			break;
		}

		membership.sentAtBySequence.delete(sequence);
	}
}

/**
 * Sends the node's summary to its neighbours at each interval, and announces a revision that has
 * increased in between.
 *
 * @param node - the node, updated in place
 * @param event - the tick
 * @returns at most one `peer-send` for each neighbour
 * @example
 * sendSummary(node, {type: 'tick', at: 300});
 */
export function sendSummary(node: Node, event: EventOf<'tick'>): Effect[] {
	const {membership, freshness, snapshot} = node;
	const {at} = event;
	const interval = membership.records.size > maximumNeighbours + 1 ? largeFleetSummaryIntervalMs : summaryIntervalMs;
	if (at - membership.summarySentAt < interval) {
		return announceRevision(node);
	}

	recordSent(node, at);
	const relayed = listDigests(node, at);
	const summary: Summary = {
		type: 'summary',
		member: node.id,
		zone: node.zone,
		sequence: membership.sequence,
		revision: snapshot.revision,
		...(Number.isFinite(freshness.storeContactAt) && {storeContactAgeMs: Math.ceil(Math.max(0, at - freshness.storeContactAt))}),
		demand: describeDemand(node),
		...(relayed.length > 0 && {relayed}),
	};
	return membership.neighbours.map(to => {
		const received = membership.lastReceived.get(to);
		const message = received === undefined ? summary : {...summary, echo: {sequence: received.sequence, heldMs: Math.floor(Math.max(0, at - received.at))}};
		return {type: 'peer-send', to, message};
	});
}
