import {freshnessLimitMs, storeAwayMs} from '../constants.js';

/** What a node knows of a member; times on its own clock, never later than the member's act. */
export type Contact = {
	readonly revision: number;
	readonly reportedAt: number;
	readonly storeContactAt: number;
};

/** Latest times at which the configuration was current, and at which the store was away for all. */
export type Decision = {
	readonly currentAt: number;
	readonly awayAt: number;
};

function findAwayAt(own: {revision: number; storeContactAt: number}, members: readonly string[], contacts: ReadonlyMap<string, Contact>, options: {self: string; at: number}): number {
	const {self, at} = options;
	const reported: number[] = at - own.storeContactAt >= storeAwayMs && members.includes(self) ? [at] : [];
	for (const id of members) {
		const contact = contacts.get(id);
		if (id === self || contact === undefined) {
			continue;
		}

		if (contact.revision > own.revision) {
			return Number.NEGATIVE_INFINITY;
		}

		if (at - contact.reportedAt > freshnessLimitMs) {
			continue;
		}

		if (contact.reportedAt - contact.storeContactAt < storeAwayMs) {
			return Number.NEGATIVE_INFINITY;
		}

		reported.push(contact.reportedAt);
	}

	const majority = Math.floor(members.length / 2) + 1;
	return reported.length < majority || members.length === 0 || reported[0] !== at
		? Number.NEGATIVE_INFINITY
		: reported.toSorted((a, b) => b - a)[majority - 1] ?? Number.NEGATIVE_INFINITY;
}

/**
 * Decides until when a node's configuration is known to be current: by its own store contact, by a
 * peer's store contact at a revision no higher than its own, or by a majority of the last known members that
 * report that the store is away and no higher revision.
 *
 * @param own - the node's revision and store contact
 * @param members - identifiers of the last known members, with the node itself
 * @param contacts - what is known of the others
 * @param options - the node's identifier, and now, in milliseconds
 * @returns the latest times; negative infinity for never
 * @example
 * const {currentAt} = decideFreshness({revision: 7, storeContactAt: 100}, members, reports, {self: 'entry-1', at: 900});
 */
export function decideFreshness(own: {revision: number; storeContactAt: number}, members: readonly string[], contacts: ReadonlyMap<string, Contact>, options: {self: string; at: number}): Decision {
	let currentAt = own.storeContactAt;
	for (const contact of contacts.values()) {
		if (contact.revision <= own.revision) {
			currentAt = Math.max(currentAt, contact.storeContactAt);
		}
	}

	const awayAt = findAwayAt(own, members, contacts, options);
	return {currentAt: Math.max(currentAt, awayAt), awayAt};
}
