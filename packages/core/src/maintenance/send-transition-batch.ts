import {type Comparison, type Operation} from '../store/transaction.js';
import {findBudgetPool} from './find-budget-pool.js';
import {type Planner, type PlannerEffect} from './planner.js';
import {type BudgetRecord, type InstanceRecord} from './records.js';

/** The next record of an instance; `undefined` deletes it. */
export type Transition = {readonly instance: string; readonly next: InstanceRecord | undefined};

function listServices(planner: Planner, pool: string | undefined): readonly string[] {
	return pool === undefined ? [] : planner.rulesByPool.get(pool)?.services ?? [];
}

function isBudgetChanged(planner: Planner, service: string, spent: Record<string, string>): boolean {
	return JSON.stringify(spent) !== JSON.stringify(planner.budgets.get(service)?.value.spent ?? {});
}

/**
 * Sends transitions as one transaction, which writes the instance records and the budget records of their services and
 * compares the fencing token. The caller ensures that none of the keys has a pending transaction.
 *
 * @param planner - the planner that holds the lease; its pending transactions are updated
 * @param transitions - at most one per instance
 * @returns the transaction to perform; nothing without a lease or transitions
 * @example
 * effects.push(...sendTransitionBatch(planner, [{instance: 'web-1', next}]));
 */
export function sendTransitionBatch(planner: Planner, transitions: readonly Transition[]): PlannerEffect[] {
	const {lease, prefix} = planner;
	if (lease.type !== 'held' || transitions.length === 0) {
		return [];
	}

	const plannerKey = `${prefix}fleet/planner`;
	const compare: Comparison[] = [{key: plannerKey, modRevision: lease.fencingToken}];
	const writes = new Map<string, string | undefined>();
	const budgets = new Map<string, Record<string, string>>();
	// Copies a budget into the transaction, which compares its revision even if the budget does not change.
	const includeBudget = (service: string): Record<string, string> => {
		const spent = budgets.get(service) ?? {...planner.budgets.get(service)?.value.spent};
		budgets.set(service, spent);
		return spent;
	};

	for (const {instance, next} of transitions) {
		const key = `${prefix}fleet/instances/${instance}`;
		const previous = planner.instances.get(instance);
		compare.push({key, modRevision: previous?.revision ?? 0});
		writes.set(key, next === undefined ? undefined : JSON.stringify(next));
		const from = findBudgetPool(previous?.value);
		const to = findBudgetPool(next);
		// Without a budget that the instance counts against, includes the budgets of its pool.
		for (const service of listServices(planner, from ?? previous?.value.pool)) {
			const spent = includeBudget(service);
			if (from !== to) {
				// eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- The record's schema maps instances to steps.
				delete spent[instance];
			}
		}

		for (const service of listServices(planner, to)) {
			includeBudget(service)[instance] ??= next?.step ?? 'maintain';
		}
	}

	const keys = [...writes.keys()];
	for (const [service, spent] of budgets) {
		const key = `${prefix}fleet/budgets/${service}`;
		compare.push({key, modRevision: planner.budgets.get(service)?.revision ?? 0});
		keys.push(key);
		if (isBudgetChanged(planner, service, spent)) {
			const value: BudgetRecord = {spent};
			writes.set(key, JSON.stringify(value));
		}
	}

	planner.sequence += 1;
	const id = `transition-${planner.sequence}`;
	planner.pendingTransactions.set(id, {keys, writes, needsReadBack: false});
	const success = [...writes].map(([key, value]): Operation => (value === undefined ? {type: 'delete', key} : {type: 'put', key, value}));
	const failure = [plannerKey, ...keys].map((key): Operation => ({type: 'get', key}));
	return [{type: 'store-transact', id, transaction: {compare, success, failure}}];
}
