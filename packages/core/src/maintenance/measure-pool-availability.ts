import {type Planner} from './planner.js';
import {type InstanceRecord} from './records.js';

/** Availability of a pool according to the planner's records and instance list. */
export type PoolAvailability = {
	/** Number of instances that count against the pool's budget because they are out of service or lent, for any cause. */
	unavailable: number;
	/** Maximum number of unavailable instances: the budget plus the borrowed instances in service. */
	allowance: number;
	/** Draining instances whose drain can be undone. */
	readonly reversibleDrains: string[];
};

function countInstance(pools: ReadonlyMap<string, PoolAvailability>, id: string, record: InstanceRecord, isDown: boolean): void {
	// A lent instance counts as unavailable in its home pool.
	const counted = pools.get(record.home ?? record.pool);
	const inService = record.state === 'in-service' && !isDown;
	if (counted !== undefined && record.step !== 'arrive' && (!inService || record.home !== undefined)) {
		counted.unavailable += 1;
	}

	const borrower = record.home !== undefined && inService ? pools.get(record.pool) : undefined;
	if (borrower !== undefined) {
		borrower.allowance += 1;
	}

	if (record.state === 'draining' && record.home === undefined && record.step !== 'hold') {
		counted?.reversibleDrains.push(id);
	}
}

/**
 * Counts the unavailable instances of each pool. Unplanned failures, withdrawn availability zones and instances that are
 * not listed as live count in the same way as planned steps.
 *
 * @param planner - the planner
 * @returns the availability by pool
 * @example
 * const headroom = pools.get('web').allowance - pools.get('web').unavailable;
 */
export function measurePoolAvailability(planner: Planner): Map<string, PoolAvailability> {
	const pools = new Map<string, PoolAvailability>();
	for (const [name, rules] of planner.pools) {
		pools.set(name, {unavailable: 0, allowance: rules.unavailable, reversibleDrains: []});
	}

	for (const id of new Set([...planner.instancesToReconcile, ...planner.down])) {
		const record = planner.instances.get(id)?.value;
		if (record !== undefined) {
			countInstance(pools, id, record, planner.down.has(id));
		}
	}

	return pools;
}
