/**
 * State of the other members as one node sees them.
 */
import {type Summary} from './message.js';

/** The newest summary of a member and when it arrived. */
export type Member = {
	readonly summary: Summary;
	readonly receivedAt: number;
};

export type Membership = {
	/** Identifiers of the other members, from the store. */
	peers: readonly string[];
	readonly members: Map<string, Member>;
	sequence: number;
	sentAt: number;
};
