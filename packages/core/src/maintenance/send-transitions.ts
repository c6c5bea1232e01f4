import {findChargedPool} from './find-charged-pool.js';
import {type Planner, type PlannerEffect} from './planner.js';
import {sendTransitionBatch, type Transition} from './send-transition-batch.js';

/** Maximum number of transitions in one transaction, which keeps it below the store's limit of 128 operations. */
const maximumBatchSize = 50;

/**
 * Sends transitions in one transaction per pool. Transitions whose instance or budget record has a pending transaction,
 * and those beyond the batch size, are left out; a later tick derives them again.
 *
 * @param planner - the planner; its pending transactions are updated
 * @param transitions - at most one per instance
 * @returns the transactions to perform
 * @example
 * effects.push(...sendTransitions(planner, [{instance: 'web-1', next}]));
 */
export function sendTransitions(planner: Planner, transitions: readonly Transition[]): PlannerEffect[] {
	const lockedKeys = new Set([...planner.pendingTransactions.values()].flatMap(({keys}) => keys));
	const batches = new Map<string, Transition[]>();
	for (const transition of transitions) {
		const record = planner.instances.get(transition.instance)?.value ?? transition.next;
		const pool = findChargedPool(record) ?? findChargedPool(transition.next) ?? record?.pool ?? '';
		const batch = batches.get(pool) ?? [];
		const isLocked = lockedKeys.has(`${planner.prefix}fleet/instances/${transition.instance}`)
			|| (planner.pools.get(pool)?.services ?? []).some(service => lockedKeys.has(`${planner.prefix}fleet/budgets/${service}`));
		if (!isLocked && batch.length < maximumBatchSize) {
			batch.push(transition);
			batches.set(pool, batch);
		}
	}

	return [...batches.values()].flatMap(batch => sendTransitionBatch(planner, batch));
}
