import {type Planner} from './planner.js';
import {type InstanceRecord} from './records.js';

/** Availability of a pool according to the planner's records and instance list. */
export type PoolAvailability = {
	/** Number of instances that count against the pool's budget because they are out of service or lent, for any cause. */
	unavailable: number;
	/** Maximum number of unavailable instances: the budget plus the borrowed instances that are in service. */
	maximumUnavailable: number;
	/**
	 * Draining instances whose drain the planner may undo to free budget: not those that an operator drains to hold, nor lent
	 * ones that are being given back.
	 */
	readonly reversibleDrains: string[];
};

function countInstance(pools: ReadonlyMap<string, PoolAvailability>, id: string, record: InstanceRecord, isUnavailable: boolean): void {
	// A lent instance is counted in its home pool. An arriving instance is not counted in any pool.
	const counted = pools.get(record.home ?? record.pool);
	const inService = record.state === 'in-service' && !isUnavailable;
	if (counted !== undefined && record.step !== 'arrive' && (!inService || record.home !== undefined)) {
		counted.unavailable += 1;
	}

	const borrower = record.home !== undefined && inService ? pools.get(record.pool) : undefined;
	if (borrower !== undefined) {
		borrower.maximumUnavailable += 1;
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
 * const {maximumUnavailable, unavailable} = measurePoolAvailability(planner).get('web');
 */
export function measurePoolAvailability(planner: Planner): Map<string, PoolAvailability> {
	const pools = new Map<string, PoolAvailability>();
	for (const [name, rules] of planner.rulesByPool) {
		pools.set(name, {unavailable: 0, maximumUnavailable: rules.maximumUnavailable, reversibleDrains: []});
	}

	for (const id of new Set([...planner.instancesToReconcile, ...planner.notLive])) {
		const record = planner.instances.get(id)?.value;
		if (record !== undefined) {
			countInstance(pools, id, record, planner.notLive.has(id));
		}
	}

	return pools;
}
