import {clockDriftMarginMs, memberLeaseTtlMs} from '@rosemaryquay/core/constants';
import {type Pump} from './pump.js';

const renewalIntervalMs = memberLeaseTtlMs / 3;
const leaseCheckIntervalMs = 100;

/** Interval between two listings of the members by one node. */
export const memberListIntervalMs = 500;

/** Time for which the members take the store to be unavailable after the last confirmation. */
const storeAwayMs = 1000;

function registerNode(pump: Pump, nodeId: string, prefix: string): void {
	const key = `${prefix}members/${nodeId}`;
	let leaseId: string | undefined;
	const node = pump.nodes.get(nodeId);
	const isGone = (): boolean => pump.nodes.get(nodeId) !== node || pump.isStopped(nodeId);
	const renew = (): void => {
		if (isGone()) {
			return;
		}

		if (pump.isHalted(nodeId)) {
			pump.after(leaseCheckIntervalMs, renew);
			return;
		}

		const sentAt = pump.now;
		pump.callStore(nodeId, () => {
			if (leaseId === undefined || pump.store.renewLease(leaseId, pump.now) === 0) {
				// A lapsed lease is followed by another registration.
				leaseId = pump.store.grantLease(memberLeaseTtlMs, pump.now);
				pump.store.transact({
					compare: [], success: [{
						type: 'put', key, value: nodeId, leaseId,
					}], failure: [],
				});
			}

			return leaseId;
		}, outcome => ({type: 'members-observed', ...(outcome.ok && {lease: {registration: outcome.value, validUntil: sentAt + memberLeaseTtlMs - clockDriftMarginMs}})}));
		pump.after(renewalIntervalMs, renew);
	};

	const list = (): void => {
		if (isGone()) {
			return;
		}

		if (!pump.isHalted(nodeId)) {
			if (pump.storeCondition.down === true) {
				pump.deliver(nodeId, {type: 'members-observed', storeOutageUntil: pump.now + storeAwayMs});
			}

			pump.callStore(nodeId, () => pump.store.list(`${prefix}members/`).entries, outcome => ({
				type: 'members-observed',
				...(outcome.ok && {present: outcome.value.map(entry => ({id: entry.value, registration: entry.leaseId ?? ''}))}),
			}));
		}

		pump.after(memberListIntervalMs, list);
	};

	renew();
	list();
}

/**
 * Stands in for the membership code: registers every node of a pump in the store under a lease and
 * feeds `members-observed` events. Leases do not run out while the store is down.
 *
 * @param pump - the pump
 * @param prefix - prefix of the system's keys in the store
 * @returns a function that registers a node added later
 * @example
 * const register = feedMembers(pump);
 */
export function feedMembers(pump: Pump, prefix = 'rosemaryquay/'): (nodeId: string) => void {
	const check = (): void => {
		if (pump.storeCondition.down === true) {
			pump.store.extendLeases(pump.now);
		} else {
			pump.store.expireLeases(pump.now);
		}

		pump.after(leaseCheckIntervalMs, check);
	};

	check();
	const register = (nodeId: string): void => {
		registerNode(pump, nodeId, prefix);
	};

	for (const nodeId of pump.nodes.keys()) {
		register(nodeId);
	}

	return register;
}
