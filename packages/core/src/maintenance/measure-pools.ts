import {type Planner} from './planner.js';
import {type InstanceRecord} from './records.js';

/** Availability of one pool as the planner knows it. */
export type PoolAvailability = {
	/** Instances that the pool's services count on and that are out of service, for any cause. */
	unavailable: number;
	/** The budget plus the lent instances in service. */
	allowance: number;
	/** Draining instances whose drain can still be undone. */
	readonly undoable: string[];
};

function count(pools: ReadonlyMap<string, PoolAvailability>, id: string, record: InstanceRecord, down: boolean): void {
	// The services of the home pool count on a lent instance.
	const counted = pools.get(record.home ?? record.pool);
	const inService = record.state === 'in-service' && !down;
	if (counted !== undefined && record.step !== 'arrive' && (!inService || record.home !== undefined)) {
		counted.unavailable += 1;
	}

	const borrower = record.home !== undefined && inService ? pools.get(record.pool) : undefined;
	if (borrower !== undefined) {
		borrower.allowance += 1;
	}

	if (record.state === 'draining' && record.home === undefined && record.step !== 'hold') {
		counted?.undoable.push(id);
	}
}

/**
 * Counts the unavailable instances of each pool: unplanned failures, withdrawn availability zones
 * and instances that the list does not show as live count like planned steps.
 *
 * @param planner - the planner
 * @returns the availability by pool
 * @example
 * const headroom = pools.get('web').allowance - pools.get('web').unavailable;
 */
export function measurePools(planner: Planner): Map<string, PoolAvailability> {
	const pools = new Map<string, PoolAvailability>();
	for (const [name, rules] of planner.pools) {
		pools.set(name, {unavailable: 0, allowance: rules.unavailable, undoable: []});
	}

	for (const id of new Set([...planner.unsettled, ...planner.down])) {
		const record = planner.instances.get(id)?.value;
		if (record !== undefined) {
			count(pools, id, record, planner.down.has(id));
		}
	}

	return pools;
}
