import {findBudgetPool} from './find-budget-pool.js';
import {type Planner, type PlannerEffect} from './planner.js';
import {sendTransitionBatch, type Transition} from './send-transition-batch.js';

/**
 * Maximum number of transitions in one transaction. Leaves room, within the store's limit of 128 operations, for the planner
 * key and the budget records of the pool's services.
 */
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
	const pendingKeys = new Set([...planner.pendingTransactions.values()].flatMap(({keys}) => keys));
	const batches = new Map<string, Transition[]>();
	for (const transition of transitions) {
		const record = planner.instances.get(transition.instance)?.value ?? transition.next;
		// The empty name groups transitions that concern no pool.
		const pool = findBudgetPool(record) ?? findBudgetPool(transition.next) ?? record?.pool ?? '';
		const batch = batches.get(pool) ?? [];
		const hasPendingKey = pendingKeys.has(`${planner.prefix}fleet/instances/${transition.instance}`)
			|| (planner.rulesByPool.get(pool)?.services ?? []).some(service => pendingKeys.has(`${planner.prefix}fleet/budgets/${service}`));
		if (!hasPendingKey && batch.length < maximumBatchSize) {
			batch.push(transition);
			batches.set(pool, batch);
		}
	}

	return [...batches.values()].flatMap(batch => sendTransitionBatch(planner, batch));
}
