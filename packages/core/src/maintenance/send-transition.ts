import {type Comparison, type Operation} from '../store/transaction.js';
import {findSpentPool} from './find-spent-pool.js';
import {type Planner, type PlannerEffect} from './planner.js';
import {type BudgetRecord, type InstanceRecord} from './records.js';

/** The next record of an instance; `undefined` deletes it. */
export type Transition = {readonly instance: string; readonly next: InstanceRecord | undefined};

function listServices(planner: Planner, pool: string | undefined): readonly string[] {
	return pool === undefined ? [] : planner.pools.get(pool)?.services ?? [];
}

function isChanged(planner: Planner, service: string, spent: Record<string, string>): boolean {
	return JSON.stringify(spent) !== JSON.stringify(planner.budgets.get(service)?.value.spent ?? {});
}

/**
 * Sends transitions as one transaction of the instance records and the budget records of their
 * services, under the fencing comparison. The caller makes sure that no key has a pending transaction.
 *
 * @param planner - the planner that holds the lease; its pending transactions are updated
 * @param transitions - at most one for each instance
 * @returns the transaction to perform
 * @example
 * effects.push(...sendTransition(planner, [{instance: 'web-1', next}]));
 */
export function sendTransition(planner: Planner, transitions: readonly Transition[]): PlannerEffect[] {
	const {lease, prefix} = planner;
	if (lease.type !== 'held' || transitions.length === 0) {
		return [];
	}

	const plannerKey = `${prefix}fleet/planner`;
	const compare: Comparison[] = [{key: plannerKey, modRevision: lease.fencing}];
	const puts = new Map<string, string | undefined>();
	const budgets = new Map<string, Record<string, string>>();
	const openBudget = (service: string): Record<string, string> => {
		const known = budgets.get(service) ?? {...planner.budgets.get(service)?.value.spent};
		budgets.set(service, known);
		return known;
	};

	for (const {instance, next} of transitions) {
		const key = `${prefix}fleet/instances/${instance}`;
		const previous = planner.instances.get(instance);
		compare.push({key, modRevision: previous?.revision ?? 0});
		puts.set(key, next === undefined ? undefined : JSON.stringify(next));
		const from = findSpentPool(previous?.value);
		const to = findSpentPool(next);
		for (const service of listServices(planner, from ?? previous?.value.pool)) {
			const spent = openBudget(service);
			if (from !== to) {
				// eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- The record's schema maps instances to steps.
				delete spent[instance];
			}
		}

		for (const service of listServices(planner, to)) {
			openBudget(service)[instance] ??= next?.step ?? 'maintain';
		}
	}

	const keys = [...puts.keys()];
	for (const [service, spent] of budgets) {
		const key = `${prefix}fleet/budgets/${service}`;
		compare.push({key, modRevision: planner.budgets.get(service)?.revision ?? 0});
		keys.push(key);
		if (isChanged(planner, service, spent)) {
			const value: BudgetRecord = {spent};
			puts.set(key, JSON.stringify(value));
		}
	}

	planner.sequence += 1;
	const id = `transition-${planner.sequence}`;
	planner.pending.set(id, {keys, puts, unread: false});
	const success = [...puts].map(([key, value]): Operation => (value === undefined ? {type: 'delete', key} : {type: 'put', key, value}));
	const failure = [plannerKey, ...keys].map((key): Operation => ({type: 'get', key}));
	return [{type: 'store-transact', id, transaction: {compare, success, failure}}];
}
