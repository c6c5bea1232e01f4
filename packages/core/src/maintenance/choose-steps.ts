import {isPeak} from './is-peak.js';
import {type PoolAvailability} from './measure-pools.js';
import {type Planner, type PoolRules} from './planner.js';
import {type InstanceRecord, type PlanPool, type Step} from './records.js';
import {type Transition} from './send-transition.js';

type Choice = {
	readonly planner: Planner;
	readonly utcMs: number;
	readonly pools: ReadonlyMap<string, PoolAvailability>;
	readonly isBusy: (instance: string, record: InstanceRecord) => boolean;
	readonly transitions: Transition[];
};

function isOffPeak({planner, utcMs}: Choice, rules: PoolRules): boolean {
	return !isPeak(rules, utcMs) && !isPeak(rules, utcMs + planner.settings.stepMs);
}

/** The record when the instance is in service, shown as live and free to begin a step. */
function readyRecord({planner, isBusy}: Choice, instance: string): InstanceRecord | undefined {
	const record = planner.instances.get(instance)?.value;
	const ready = record?.state === 'in-service' && !planner.down.has(instance) && planner.listed.has(instance) && !isBusy(instance, record);
	return ready ? record : undefined;
}

function begin(choice: Choice, instance: string, record: InstanceRecord, options: {step: Step; target?: string}): void {
	const {requested: _requested, ...rest} = record;
	choice.transitions.push({
		instance,
		next: {
			...rest, ...options, state: 'draining', generation: record.generation + 1, deadlineAt: choice.utcMs + choice.planner.settings.drainMs,
		},
	});
}

function beginCounted(choice: Choice, instance: string, options: {step: Step; target?: string; limit?: number}): boolean {
	const record = readyRecord(choice, instance);
	const pool = record === undefined ? undefined : choice.pools.get(record.pool);
	const {limit = Number.POSITIVE_INFINITY, ...step} = options;
	if (record === undefined || pool === undefined || record.home !== undefined || pool.unavailable >= Math.min(pool.allowance, limit)) {
		return false;
	}

	pool.unavailable += 1;
	begin(choice, instance, record, step);
	return true;
}

/** Sends a lent instance home; the pool that borrowed it loses the allowance. */
function giveBack(choice: Choice, instance: string, record: InstanceRecord): void {
	const pool = choice.pools.get(record.pool);
	if (record.home !== undefined && pool !== undefined && pool.unavailable <= pool.allowance - 1 && readyRecord(choice, instance) !== undefined) {
		pool.allowance -= 1;
		begin(choice, instance, record, {step: 'give-back', target: record.home});
	}
}

function isMaintained(record: InstanceRecord | undefined, createdAt: number): boolean {
	return record === undefined || record.state === 'suspect' || record.maintainedAt >= createdAt;
}

/** Begins what the plan calls for in one pool; returns whether the pool has nothing left to do. */
function beginPlanned(choice: Choice, pool: string, plan: PlanPool, createdAt: number): boolean {
	const {planner, pools} = choice;
	const rules = planner.pools.get(pool);
	const available = pools.get(pool);
	if (rules === undefined || available === undefined) {
		return true;
	}

	const {firstWave} = planner.progress;
	const offPeak = isOffPeak(choice, rules);
	const reserve = Number.isFinite(rules.unavailable) ? Math.floor(rules.unavailable * planner.settings.listReserve) : 0;
	const limit = Math.min(plan.concurrency, available.allowance - reserve);
	let finished = true;
	for (const [index, wave] of plan.waves.entries()) {
		if (index < (firstWave.get(pool) ?? 0)) {
			continue;
		}

		if (finished) {
			firstWave.set(pool, index);
		}

		for (const instance of wave) {
			const record = planner.instances.get(instance)?.value;
			if (isMaintained(record, createdAt)) {
				continue;
			}

			finished = false;
			if (!offPeak || available.unavailable >= limit) {
				return false;
			}

			beginCounted(choice, instance, {step: 'maintain', limit});
		}
	}

	return finished;
}

function beginLoans(choice: Choice, pool: string, plan: PlanPool): void {
	for (const instance of plan.lent) {
		const record = choice.planner.instances.get(instance)?.value;
		if (record !== undefined && record.home === undefined && record.pool !== pool) {
			beginCounted(choice, instance, {step: 'lend', target: pool});
		}
	}
}

function beginRequested(choice: Choice): void {
	for (const instance of choice.planner.unsettled) {
		const record = choice.planner.instances.get(instance)?.value;
		if (record?.requested === 'drain') {
			beginCounted(choice, instance, {step: 'hold'});
		} else if (record?.requested === 'move' && record.target !== undefined) {
			beginCounted(choice, instance, {step: 'move', target: record.target});
		}
	}
}

/**
 * Chooses the planned steps that begin now: what operators asked for, then the plan's loans and
 * waves, then the return of lent instances. Each begins only within what failures, withdrawn
 * availability zones and steps under way leave of the budget.
 *
 * @param choice - the planner, UTC time, availability by pool (updated), and which instances have a pending transaction
 * @returns the transitions, at most one for each instance
 * @example
 * const transitions = chooseSteps({planner, utcMs, pools: measurePools(planner), isBusy});
 */
export function chooseSteps(choice: Omit<Choice, 'transitions'>): Transition[] {
	const all: Choice = {...choice, transitions: []};
	const {planner} = all;
	beginRequested(all);
	const plan = planner.plan?.value;
	if (plan?.status === 'paused') {
		return all.transitions;
	}

	if (plan !== undefined && planner.progress.planId !== plan.id) {
		planner.progress = {planId: plan.id, firstWave: new Map()};
	}

	const borrowing = new Set<string>();
	if (plan?.status === 'running') {
		for (const [pool, planned] of Object.entries(plan.pools)) {
			if (!beginPlanned(all, pool, planned, plan.createdAt)) {
				borrowing.add(pool);
				beginLoans(all, pool, planned);
			}
		}
	}

	for (const instance of planner.unsettled) {
		const record = planner.instances.get(instance)?.value;
		if (record?.home !== undefined && !borrowing.has(record.pool)) {
			giveBack(all, instance, record);
		}
	}

	return all.transitions;
}
