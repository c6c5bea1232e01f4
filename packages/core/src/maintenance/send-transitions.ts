import {findSpentPool} from './find-spent-pool.js';
import {type Planner, type PlannerEffect} from './planner.js';
import {sendTransition, type Transition} from './send-transition.js';

/** Records in one transaction, so that it stays below the store's limit of 128 operations. */
const maximumBatch = 50;

/**
 * Sends transitions in one transaction for each pool whose budget has none pending. The others are
 * derived again by a later tick.
 *
 * @param planner - the planner; its pending transactions are updated
 * @param transitions - at most one for each instance
 * @returns the transactions to perform
 * @example
 * effects.push(...sendTransitions(planner, [{instance: 'web-1', next}]));
 */
export function sendTransitions(planner: Planner, transitions: readonly Transition[]): PlannerEffect[] {
	const locked = new Set([...planner.pending.values()].flatMap(({keys}) => keys));
	const batches = new Map<string, Transition[]>();
	for (const transition of transitions) {
		const record = planner.instances.get(transition.instance)?.value ?? transition.next;
		const pool = findSpentPool(record) ?? findSpentPool(transition.next) ?? record?.pool ?? '';
		const batch = batches.get(pool) ?? [];
		const isLocked = locked.has(`${planner.prefix}fleet/instances/${transition.instance}`)
			|| (planner.pools.get(pool)?.services ?? []).some(service => locked.has(`${planner.prefix}fleet/budgets/${service}`));
		if (!isLocked && batch.length < maximumBatch) {
			batch.push(transition);
			batches.set(pool, batch);
		}
	}

	return [...batches.values()].flatMap(batch => sendTransition(planner, batch));
}
