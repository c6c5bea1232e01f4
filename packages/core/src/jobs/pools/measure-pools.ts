import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type Resources} from '../state/configuration-schema.js';
import {type Step} from '../state/job-schema.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {isWithinLimit} from '../order/is-within-limit.js';
import {addResources} from '../placement/add-resources.js';
import {getTotalResources} from '../placement/get-total-resources.js';
import {mayStartUnderLimit} from '../placement/may-start-under-limit.js';
import {isStepReady} from '../state/is-step-ready.js';
import {measureDominantResource} from '../placement/measure-dominant-resource.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {classifyLateness} from '../order/classify-lateness.js';
import {estimateDuration} from '../estimates/estimate-duration.js';
import {
	type ActiveJob, type PoolLoad, type Scheduler, type StepState, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {isSuitableInstance} from './is-suitable-instance.js';
import {measureArrivingDemand} from './measure-arriving-demand.js';
import {measureReserves} from './measure-reserves.js';
import {observeBurst} from './observe-burst.js';
import {forecastDemand} from './forecast-demand.js';
import {groupWorkersByInstance} from './group-workers-by-instance.js';

/** Time within which the ready tasks of a pool should be done; if its capacity does not suffice, more instances are requested, which take longer than that to arrive. */
const backlogTargetMs = 700;

/** Time for which a job counts as an arrival. */
const arrivalWindowMs = 1000;

/** Waiting time after which a long-running task needs another instance, even if the total free capacity of the pool seems sufficient. */
const starvationMs = 500;

/** Time after which an upkeep that waits only for long-running tasks needs another instance to move them to. */
const blockedUpkeepMs = 1500;

/** Lateness class from which a job does not count towards the backlog. */
const ignoredLateness = 2;

const nothing: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

const noDemand = {measuredAt: 0, smoothed: 0, forecast: 0};

/** Resources that the waiting tasks counted so far would use, by organisation. */
type Claims = Map<string, Resources>;

/** Demand in thousandths of a core and number of recently arrived jobs, by service. */
type PoolDemands = Map<string, {demand: number; count: number}>;

/**
 * Measures load and capacity of every pool that is not a spare pool, and forecasts the demand on it.
 *
 * @param context - the reducer context
 * @returns the pools by name
 * @example
 * measurePools(context).get('planner');
 */
export function measurePools(context: ReducerContext): Map<string, PoolLoad> {
	const {scheduler, now} = context;
	const pools = new Map<string, PoolLoad>();
	for (const {name, spare} of scheduler.configuration.pools) {
		if (!spare) {
			pools.set(name, {
				name, workers: [], capacity: 0, used: 0, usedByLateJobs: 0, backlog: 0, backlogOfLateJobs: 0, lateJobs: new Set(), demand: noDemand, unmetLongRunningNeeds: 0,
			});
		}
	}

	const demands: PoolDemands = new Map();
	addWorkers(context, pools, demands);
	const longRunning = new Map([...demands].map(([service, {demand}]) => [service, demand]));
	addBlockedUpkeeps(context, pools);
	addJobs(context, pools, demands);
	addUsageByLateJobs(pools);
	const reserves = measureReserves(scheduler, [...pools.keys()], now);
	for (const pool of pools.values()) {
		const {demand = 0, count = 0} = demands.get(pool.name) ?? {};
		const {threshold = Number.POSITIVE_INFINITY, isExpected = true} = reserves.get(pool.name) ?? {};
		observeBurst(scheduler.burstPattern, pool.name, {
			demand: demand - (longRunning.get(pool.name) ?? 0), threshold, isExpected, now,
		});
		pool.demand = forecastDemand(scheduler.poolLoads.get(pool.name)?.demand, {currentDemand: demand, arrivals: count, now});
	}

	return pools;
}

function addWorkers({scheduler}: ReducerContext, pools: ReadonlyMap<string, PoolLoad>, demands: PoolDemands): void {
	for (const worker of scheduler.workers.values()) {
		const {listing} = worker;
		const pool = pools.get(listing?.service ?? '');
		if (listing === undefined || pool === undefined || listing.leaving || worker.unresponsive || scheduler.withdrawnZones.has(listing.availabilityZone)) {
			continue;
		}

		pool.workers.push(worker);
		pool.capacity += listing.capacity.cpuMillis;
		pool.used += measureDominantResource(worker.used, listing.capacity);
		// Long-running tasks do not end, so what they use counts as demand as well.
		addDemand(demands, pool.name, {demand: measureLongRunningUsage(worker), count: 0});
	}
}

/** Counts upkeeps that wait only for long-running tasks to move to another instance: their pool lacks capacity for these tasks. */
function addBlockedUpkeeps({scheduler, now}: ReducerContext, pools: ReadonlyMap<string, PoolLoad>): void {
	for (const {upkeeps} of scheduler.waves.values()) {
		for (const {instance, state, changedAt} of upkeeps.values()) {
			const workers = state === 'draining' && now - changedAt > blockedUpkeepMs ? groupWorkersByInstance(scheduler, now).get(instance) ?? [] : [];
			const pool = pools.get(workers[0]?.service ?? '');
			if (pool !== undefined && workers.every(({tasks}) => [...tasks].every(({group}) => group.definition.longRunning))) {
				pool.unmetLongRunningNeeds++;
			}
		}
	}
}

function addJobs(context: ReducerContext, pools: ReadonlyMap<string, PoolLoad>, demands: PoolDemands): void {
	const {scheduler, now} = context;
	const claims: Claims = new Map();
	const arriving = new Map<string, number>();
	for (const job of scheduler.jobs.values()) {
		if (job.cancelled || job.end !== undefined) {
			continue;
		}

		const {service} = findQueuePolicy(scheduler, job);
		const pool = pools.get(service);
		addDemand(demands, service, {demand: limitDemand(scheduler, job, {demand: measureArrivingDemand(scheduler, job, now), arriving}), count: now - job.acceptedAt < arrivalWindowMs ? 1 : 0});
		if (pool === undefined) {
			continue;
		}

		const lateness = classifyLateness(scheduler, job, now);
		if (lateness > 0) {
			pool.lateJobs.add(job);
		}

		if (lateness < ignoredLateness) {
			const backlogBefore = pool.backlog;
			for (const steps of job.occurrences.values()) {
				addBacklog(context, pool, {steps, claims});
			}

			pool.backlogOfLateJobs += lateness > 0 ? pool.backlog - backlogBefore : 0;
		}
	}
}

function addUsageByLateJobs(pools: ReadonlyMap<string, PoolLoad>): void {
	for (const pool of pools.values()) {
		for (const {tasks, listing, used} of pool.workers) {
			for (const {group} of tasks) {
				pool.usedByLateJobs += pool.lateJobs.has(group.job) ? measureDominantResource(getReservedResources(group.definition), listing?.capacity ?? used) : 0;
			}
		}
	}
}

function addDemand(demands: PoolDemands, service: string, arrival: {demand: number; count: number}): void {
	const {demand = 0, count = 0} = demands.get(service) ?? {};
	demands.set(service, {demand: demand + arrival.demand, count: count + arrival.count});
}

/** Sums what the long-running tasks on a worker use, in thousandths of a core. */
function measureLongRunningUsage({tasks, listing, used}: Worker): number {
	let total = 0;
	for (const {group: {definition}} of tasks) {
		total += definition.longRunning ? measureDominantResource(getReservedResources(definition), listing?.capacity ?? used) : 0;
	}

	return total;
}

function addBacklog({scheduler, now}: ReducerContext, pool: PoolLoad, {steps, claims}: {steps: readonly StepState[]; claims: Claims}): void {
	const capacity = pool.workers[0]?.listing?.capacity;
	for (const step of steps) {
		if (!isStepReady(steps, step)) {
			continue;
		}

		for (const group of step.groups) {
			const {definition, job, tasks, unassignedSince} = group;
			if (!isUnassigned(group) || !claim(scheduler, group, claims)) {
				continue;
			}

			// Short tasks can run one after another on the same cores.
			const fraction = definition.longRunning ? 1 : Math.min(1, estimateDuration(scheduler, job, step.step) / backlogTargetMs);
			const need = getReservedResources(definition);
			pool.backlog += tasks.length * fraction * (capacity === undefined ? need.cpuMillis : measureDominantResource(need, capacity));
			pool.unmetLongRunningNeeds += definition.longRunning && now - unassignedSince > starvationMs && canBeMet(scheduler, pool, definition) ? 1 : 0;
		}
	}
}

/** Counts a waiting group against the upper limit of its organisation, unless it would not start there: more instances do not help what the limit keeps waiting. */
function claim(scheduler: Scheduler, group: TaskGroup, claims: Claims): boolean {
	const {organisation} = group.job.definition;
	const claimed = addResources(claims.get(organisation) ?? nothing, getTotalResources(group));
	const isCounted = isWithinLimit(scheduler, group.job, claimed) || (!claims.has(organisation) && mayStartUnderLimit(scheduler, group, scheduler.tickedAt));
	if (isCounted) {
		claims.set(organisation, claimed);
	}

	return isCounted;
}

/** Bounds the demand of the jobs of an organisation that have just arrived by its upper limit, in thousandths of a core. */
function limitDemand({configuration}: Scheduler, {definition: {organisation}}: ActiveJob, {demand, arriving}: {demand: number; arriving: Map<string, number>}): number {
	const limit = configuration.organisations.find(({name}) => name === organisation)?.limit.cpuMillis ?? 0;
	const before = arriving.get(organisation) ?? 0;
	arriving.set(organisation, before + demand);
	return limit === 0 ? demand : Math.max(0, Math.min(demand, limit - before));
}

/** Tells whether an instance that is not in the pool could run a long-running task: one that waits for a label or a size that none has would occupy one instance after another. */
function canBeMet({instances}: Scheduler, pool: PoolLoad, definition: Step): boolean {
	for (const instance of instances.values()) {
		if ((instance.state === 'moving' || (instance.state === 'up' && instance.pool !== pool.name)) && isSuitableInstance(instance, definition)) {
			return true;
		}
	}

	return false;
}
