import {freshnessLimitMs, storeOutageThresholdMs} from '../constants.js';

/** Revision and store contact of another member, as last reported. Times are on the node's own clock and never later than the actual event at the member. */
export type MemberStatus = {
	readonly revision: number;
	readonly reportedAt: number;
	readonly storeContactAt: number;
};

/** Latest times at which the configuration was known to be current, and at which a majority confirmed a store outage. */
export type FreshnessDecision = {
	readonly currentAt: number;
	readonly outageConfirmedAt: number;
};

function findOutageConfirmedAt(own: {revision: number; storeContactAt: number}, members: readonly string[], reports: ReadonlyMap<string, MemberStatus>, options: {self: string; at: number}): number {
	const {self, at} = options;
	const outageReports: number[] = at - own.storeContactAt >= storeOutageThresholdMs && members.includes(self) ? [at] : [];
	for (const id of members) {
		const report = reports.get(id);
		if (id === self || report === undefined) {
			continue;
		}

		// A member with a newer configuration, even if its report is old, shows that this node's may be outdated.
		if (report.revision > own.revision) {
			return Number.NEGATIVE_INFINITY;
		}

		if (at - report.reportedAt > freshnessLimitMs) {
			continue;
		}

		// One member with store contact refutes the outage.
		if (report.reportedAt - report.storeContactAt < storeOutageThresholdMs) {
			return Number.NEGATIVE_INFINITY;
		}

		outageReports.push(report.reportedAt);
	}

	// The node's own report comes first; without it no outage is confirmed.
	const majority = Math.floor(members.length / 2) + 1;
	return outageReports.length < majority || members.length === 0 || outageReports[0] !== at
		? Number.NEGATIVE_INFINITY
		: outageReports.toSorted((a, b) => b - a)[majority - 1] ?? Number.NEGATIVE_INFINITY;
}

/**
 * Decides until when a node's configuration is known to have been current: by its own store contact, by
 * another member's store contact at a revision no higher than its own, or by a majority of the last known members that
 * report an outage of the store and no higher revision.
 *
 * @param own - the node's revision and time of store contact
 * @param members - identifiers of the last known members, with the node itself
 * @param reports - last known reports of the other members, by identifier
 * @param options - the node's identifier, and now, in milliseconds
 * @returns the latest times; negative infinity for never
 * @example
 * const {completeUntil} = decideFreshness({revision: 7, storeContactAt: 100}, members, reports, {self: 'entry-1', at: 900});
 */
export function decideFreshness(
	own: {revision: number; storeContactAt: number},
	members: readonly string[],
	reports: ReadonlyMap<string, MemberStatus>,
	options: {self: string; at: number},
): FreshnessDecision {
	let currentAt = own.storeContactAt;
	for (const report of reports.values()) {
		if (report.revision <= own.revision) {
			currentAt = Math.max(currentAt, report.storeContactAt);
		}
	}

	const outageConfirmedAt = findOutageConfirmedAt(own, members, reports, options);
	return {currentAt: Math.max(currentAt, outageConfirmedAt), outageConfirmedAt};
}
