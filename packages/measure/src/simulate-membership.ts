import {clockDriftMarginMs, memberLeaseTtlMs} from '@rosemaryquay/core/constants';
import {type Simulation} from './simulation.js';

const renewalIntervalMs = memberLeaseTtlMs / 3;
const leaseCheckIntervalMs = 100;

/** Interval at which a node lists the members. */
export const memberListIntervalMs = 500;

/** Time for which one confirmation that the store is unavailable stays valid. */
const storeOutageValidityMs = 1000;

function simulateMember(simulation: Simulation, nodeId: string, prefix: string): void {
	const key = `${prefix}members/${nodeId}`;
	let leaseId: string | undefined;
	const node = simulation.nodes.get(nodeId);
	const isStoppedOrReplaced = (): boolean => simulation.nodes.get(nodeId) !== node || simulation.isStopped(nodeId);
	const renew = (): void => {
		if (isStoppedOrReplaced()) {
			return;
		}

		if (simulation.isStoppedOrPaused(nodeId)) {
			simulation.after(leaseCheckIntervalMs, renew);
			return;
		}

		const sentAt = simulation.now;
		simulation.callStore(nodeId, () => {
			if (leaseId === undefined || simulation.store.renewLease(leaseId, simulation.now) === 0) {
				// After its lease has expired, the node registers again under a new lease.
				leaseId = simulation.store.grantLease(memberLeaseTtlMs, simulation.now);
				simulation.store.transact({
					compare: [], success: [{
						type: 'put', key, value: nodeId, leaseId,
					}], failure: [],
				});
			}

			return leaseId;
		}, outcome => ({type: 'members-observed', ...(outcome.ok && {lease: {registration: outcome.value, validUntil: sentAt + memberLeaseTtlMs - clockDriftMarginMs}})}));
		simulation.after(renewalIntervalMs, renew);
	};

	const list = (): void => {
		if (isStoppedOrReplaced()) {
			return;
		}

		if (!simulation.isStoppedOrPaused(nodeId)) {
			if (simulation.storeCondition.down === true) {
				simulation.deliver(nodeId, {type: 'members-observed', storeOutageUntil: simulation.now + storeOutageValidityMs});
			}

			simulation.callStore(nodeId, () => simulation.store.list(`${prefix}members/`).entries, outcome => ({
				type: 'members-observed',
				...(outcome.ok && {present: outcome.value.map(entry => ({id: entry.value, registration: entry.leaseId ?? ''}))}),
			}));
		}

		simulation.after(memberListIntervalMs, list);
	};

	renew();
	list();
}

/**
 * Simulates membership: registers every node of a simulation in the store under a lease and
 * delivers `members-observed` events. Leases do not expire while the store is down, because each check restarts
 * them with their full TTL; the store driver restarts them once, when the store returns.
 *
 * @param simulation - the simulation
 * @param prefix - prefix of the system's keys in the store
 * @returns a function that registers a node that is added later
 * @example
 * const register = simulateMembership(simulation);
 */
export function simulateMembership(simulation: Simulation, prefix = 'rosemaryquay/'): (nodeId: string) => void {
	const check = (): void => {
		if (simulation.storeCondition.down === true) {
			simulation.store.extendLeases(simulation.now);
		} else {
			simulation.store.expireLeases(simulation.now);
		}

		simulation.after(leaseCheckIntervalMs, check);
	};

	check();
	const register = (nodeId: string): void => {
		simulateMember(simulation, nodeId, prefix);
	};

	for (const nodeId of simulation.nodes.keys()) {
		register(nodeId);
	}

	return register;
}
