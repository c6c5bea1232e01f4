import {absenceRetentionMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {formatRegistrationKey} from './format-registration-key.js';
import {mayUsePortions} from './may-use-portions.js';

/**
 * Updates the liveness state from the membership: this node's member lease, a confirmed store outage,
 * and the present members. Absence counts from the time of this event; as the store
 * was read before, the reclaim delay never begins too early.
 *
 * @param node - the node, updated in place
 * @param event - the observation; absent properties leave the state as it is
 * @returns no effects
 * @example
 * updateLiveness(node, {type: 'members-observed', at: 0, storeOutageUntil: 1000});
 */
export function updateLiveness(node: Node, event: EventOf<'members-observed'>): Effect[] {
	const {liveness} = node.limits;
	if (event.lease !== undefined) {
		liveness.registration = event.lease.registration;
		liveness.leaseValidUntil = event.lease.validUntil;
	}

	// A node whose lease may have expired before the outage may have lost its portions to a reclaim, and may not use them.
	if (event.storeOutageUntil !== undefined && mayUsePortions(node, node.limits.now)) {
		liveness.storeOutageUntil = event.storeOutageUntil;
	}

	if (event.present !== undefined) {
		const missing = new Map(liveness.present);
		liveness.present.clear();
		for (const {id, registration} of event.present) {
			liveness.present.set(id, registration);
			liveness.absentSince.delete(formatRegistrationKey(id, registration));
			if (missing.get(id) === registration) {
				missing.delete(id);
			}
		}

		for (const [id, registration] of missing) {
			liveness.absentSince.set(formatRegistrationKey(id, registration), event.at);
		}

		for (const [key, since] of liveness.absentSince) {
			if (event.at - since > absenceRetentionMs) {
				liveness.absentSince.delete(key);
			}
		}
	}

	return [];
}
