import {isPeak} from './is-peak.js';
import {type PoolAvailability} from './measure-pool-availability.js';
import {type Planner, type PoolRules} from './planner.js';
import {type InstanceRecord, type PlanPool, type Step} from './records.js';
import {type Transition} from './send-transition-batch.js';

type StepSelection = {
	readonly planner: Planner;
	readonly utcMs: number;
	readonly availabilityByPool: ReadonlyMap<string, PoolAvailability>;
	/** Whether an instance has a transition in this tick already. */
	readonly hasTransition: (instance: string, record: InstanceRecord) => boolean;
	readonly transitions: Transition[];
};

/** Tells whether a maintenance step neither starts nor is expected to end in the pool's peak hours. */
function isOffPeak({planner, utcMs}: StepSelection, rules: PoolRules): boolean {
	return !isPeak(rules, utcMs) && !isPeak(rules, utcMs + planner.settings.stepMs);
}

/** Finds the record of an instance that is in service, listed as live and has no transition in this tick yet. */
function findReadyRecord({planner, hasTransition}: StepSelection, instance: string): InstanceRecord | undefined {
	const record = planner.instances.get(instance)?.value;
	const ready = record?.state === 'in-service' && !planner.notLive.has(instance) && planner.listedInstances.has(instance) && !hasTransition(instance, record);
	return ready ? record : undefined;
}

function startStep(selection: StepSelection, instance: string, record: InstanceRecord, options: {step: Step; target?: string}): void {
	const {requested: _requested, ...rest} = record;
	selection.transitions.push({
		instance,
		next: {
			...rest, ...options, state: 'draining', generation: record.generation + 1, deadlineAt: selection.utcMs + selection.planner.settings.drainMs,
		},
	});
}

function startStepWithinBudget(selection: StepSelection, instance: string, options: {step: Step; target?: string; limit?: number}): boolean {
	const record = findReadyRecord(selection, instance);
	const availability = record === undefined ? undefined : selection.availabilityByPool.get(record.pool);
	const {limit = Number.POSITIVE_INFINITY, ...step} = options;
	if (record === undefined || availability === undefined || record.home !== undefined || availability.unavailable >= Math.min(availability.maximumUnavailable, limit)) {
		return false;
	}

	availability.unavailable += 1;
	startStep(selection, instance, record, step);
	return true;
}

/** Starts giving a lent instance back to its home pool, which lowers `maximumUnavailable` of the borrowing pool. */
function giveBackLentInstance(selection: StepSelection, instance: string, record: InstanceRecord): void {
	const availability = selection.availabilityByPool.get(record.pool);
	if (record.home !== undefined && availability !== undefined && availability.unavailable <= availability.maximumUnavailable - 1 && findReadyRecord(selection, instance) !== undefined) {
		availability.maximumUnavailable -= 1;
		startStep(selection, instance, record, {step: 'give-back', target: record.home});
	}
}

function isMaintained(record: InstanceRecord | undefined, createdAt: number): boolean {
	return record === undefined || record.state === 'suspect' || record.maintainedAt >= createdAt;
}

/**
 * Starts maintenance steps of one pool in wave order, up to the concurrency of the plan and the remaining budget. Returns
 * whether all waves of the pool are finished.
 */
function startPlannedSteps(selection: StepSelection, pool: string, plan: PlanPool, createdAt: number): boolean {
	const {planner, availabilityByPool} = selection;
	const rules = planner.rulesByPool.get(pool);
	const availability = availabilityByPool.get(pool);
	if (rules === undefined || availability === undefined) {
		return true;
	}

	const {firstUnfinishedWave} = planner.waveProgress;
	const offPeak = isOffPeak(selection, rules);
	const reserve = Number.isFinite(rules.maximumUnavailable) ? Math.floor(rules.maximumUnavailable * planner.settings.failureReserveRatio) : 0;
	const limit = Math.min(plan.concurrency, availability.maximumUnavailable - reserve);
	let finished = true;
	for (const [index, wave] of plan.waves.entries()) {
		if (index < (firstUnfinishedWave.get(pool) ?? 0)) {
			continue;
		}

		if (finished) {
			firstUnfinishedWave.set(pool, index);
		}

		for (const instance of wave) {
			const record = planner.instances.get(instance)?.value;
			if (isMaintained(record, createdAt)) {
				continue;
			}

			finished = false;
			if (!offPeak || availability.unavailable >= limit) {
				return false;
			}

			startStepWithinBudget(selection, instance, {step: 'maintain', limit});
		}
	}

	return finished;
}

/** Starts moving spare instances of other pools to a pool for its roll-out. */
function lendInstances(selection: StepSelection, pool: string, plan: PlanPool): void {
	for (const instance of plan.lent) {
		const record = selection.planner.instances.get(instance)?.value;
		if (record !== undefined && record.home === undefined && record.pool !== pool) {
			startStepWithinBudget(selection, instance, {step: 'lend', target: pool});
		}
	}
}

function startRequestedSteps(selection: StepSelection): void {
	for (const instance of selection.planner.instancesToReconcile) {
		const record = selection.planner.instances.get(instance)?.value;
		if (record?.requested === 'drain') {
			startStepWithinBudget(selection, instance, {step: 'hold'});
		} else if (record?.requested === 'move' && record.target !== undefined) {
			startStepWithinBudget(selection, instance, {step: 'move', target: record.target});
		}
	}
}

/**
 * Chooses the steps that start now: operator requests, then for each pool of the plan its waves and the spare instances
 * lent to it, then giving lent instances back. A step starts only within the part of the availability budget that
 * failures, withdrawn availability zones and steps under way leave free.
 *
 * @param options - the planner, UTC time, availability by pool (updated in place), and a predicate for instances that already have a transition in this tick
 * @returns the transitions, at most one for each instance
 * @example
 * const transitions = chooseSteps({planner, utcMs, availabilityByPool: measurePoolAvailability(planner), hasTransition});
 */
export function chooseSteps(options: Omit<StepSelection, 'transitions'>): Transition[] {
	const selection: StepSelection = {...options, transitions: []};
	const {planner} = selection;
	startRequestedSteps(selection);
	const plan = planner.plan?.value;
	if (plan?.status === 'paused') {
		return selection.transitions;
	}

	if (plan !== undefined && planner.waveProgress.planId !== plan.id) {
		planner.waveProgress = {planId: plan.id, firstUnfinishedWave: new Map()};
	}

	const borrowingPools = new Set<string>();
	if (plan?.status === 'running') {
		for (const [pool, planned] of Object.entries(plan.pools)) {
			if (!startPlannedSteps(selection, pool, planned, plan.createdAt)) {
				borrowingPools.add(pool);
				lendInstances(selection, pool, planned);
			}
		}
	}

	for (const instance of planner.instancesToReconcile) {
		const record = planner.instances.get(instance)?.value;
		if (record?.home !== undefined && !borrowingPools.has(record.pool)) {
			giveBackLentInstance(selection, instance, record);
		}
	}

	return selection.transitions;
}
