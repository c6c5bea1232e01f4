import {findQueuePolicy} from '../state/find-queue-policy.js';
import {isStepReady} from '../state/is-step-ready.js';
import {measureDominantResource} from '../placement/measure-dominant-resource.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {classifyLateness} from '../order/classify-lateness.js';
import {estimateWork} from '../estimates/estimate-work.js';
import {estimateDuration} from '../estimates/estimate-duration.js';
import {
	type ActiveJob, type PoolLoad, type Scheduler, type StepState, type Worker,
} from '../state/scheduler.js';
import {measureArrivingDemand} from './measure-arriving-demand.js';
import {measureReserves} from './measure-reserves.js';
import {detectOnset} from './detect-onset.js';
import {estimateBurstHeight} from './estimate-burst-height.js';
import {learnArrivals} from './learn-arrivals.js';
import {observeBurst} from './observe-burst.js';
import {measureForecastError} from './measure-forecast-error.js';
import {forecastDemand} from './forecast-demand.js';
import {findWorkerOfInstance} from './find-worker-of-instance.js';

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

/** Time for which the arrivals of a pool are examined for the start of a burst. */
const onsetWindowMs = 2000;

/** Time for which the first step of a burst counts as its demand: until the instances have arrived and the measured demand shows its height. */
const firstStepMs = 2000;

/** Factor by which the first step exceeds the learned height: the moves are under way when the next arrivals show whether it suffices, and what is missing then comes one move later. */
const firstStepFactor = 1.2;

/** Factor by which the demand of a few arrivals may be below that of the burst which they begin. */
const maximumOnsetError = 2;

/** Factor by which a forecast may exceed the learned height; without headroom, a burst that is higher than the last ones is followed one move later. */
const forecastHeadroom = 1.6;

/** Arrivals assumed before any are known, one in 2 s, with the weight of a few seconds. */
const assumedQuietArrivals = 2;
const assumedQuietMs = 4000;

const noDemand = {measuredAt: 0, smoothed: 0, forecast: 0};

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
				name, workers: [], capacity: 0, used: 0, usedByLateJobs: 0, backlog: 0, backlogOfLateJobs: 0, lateJobs: new Set(), demand: noDemand, unmetLongRunningNeeds: 0, priority: getPriority(scheduler, name), kept: 0, forecastError: undefined,
			});
		}
	}

	const demands: PoolDemands = new Map();
	const arrivals = new Map<string, ActiveJob[]>();
	addWorkers(context, pools, demands);
	const longRunning = new Map([...demands].map(([service, {demand}]) => [service, demand]));
	addBlockedUpkeeps(context, pools);
	addJobs(context, pools, {demands, arrivals});
	addUsageByLateJobs(pools);
	const reserves = measureReserves(scheduler, [...pools.keys()], now);
	const equalShare = measureEqualShare(scheduler, pools.size);
	for (const pool of pools.values()) {
		const {demand = 0, count = 0} = demands.get(pool.name) ?? {};
		const {threshold = Number.POSITIVE_INFINITY, isExpected = true} = reserves.get(pool.name) ?? {};
		const previous = scheduler.poolLoads.get(pool.name)?.demand;
		const longRunningDemand = longRunning.get(pool.name) ?? 0;
		const step = scheduler.poolPolicy.learnsShape ? measureFirstStep(context, pool.name, arrivals.get(pool.name) ?? []) : 0;
		const forecast = forecastDemand(previous, {
			currentDemand: demand, arrivals: count, now, bound: scheduler.poolPolicy.learnsShape ? boundForecast(context, pool.name, equalShare) + longRunningDemand : undefined,
		});
		pool.demand = {...forecast, forecast: Math.max(forecast.forecast, step + longRunningDemand)};
		pool.kept = reserves.get(pool.name)?.kept ?? 0;
		pool.forecastError = measureForecastError(scheduler.poolLoads.get(pool.name)?.forecastError, {forecast: pool.demand.forecast, demand, now});
		observeBurst(scheduler.burstPattern, pool.name, {
			demand: demand - longRunningDemand, smoothed: forecast.smoothed - longRunningDemand, threshold, step, isExpected, now,
		});
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
			const worker = state === 'draining' && now - changedAt > blockedUpkeepMs ? findWorkerOfInstance(scheduler, instance) : undefined;
			const pool = pools.get(worker?.listing?.service ?? '');
			if (pool !== undefined && [...worker?.tasks ?? []].every(({group}) => group.definition.longRunning)) {
				pool.unmetLongRunningNeeds++;
			}
		}
	}
}

function addJobs(context: ReducerContext, pools: ReadonlyMap<string, PoolLoad>, {demands, arrivals}: {demands: PoolDemands; arrivals: Map<string, ActiveJob[]>}): void {
	const {scheduler, now} = context;
	for (const job of scheduler.jobs.values()) {
		if (job.cancelled || job.end !== undefined) {
			continue;
		}

		const {service} = findQueuePolicy(scheduler, job);
		const pool = pools.get(service);
		addDemand(demands, service, {demand: measureArrivingDemand(scheduler, job, now), count: now - job.acceptedAt < arrivalWindowMs ? 1 : 0});
		if (pool === undefined) {
			continue;
		}

		if (isArrival(job) && now - job.acceptedAt < onsetWindowMs) {
			arrivals.set(service, [...arrivals.get(service) ?? [], job]);
		}

		const lateness = classifyLateness(scheduler, job, now);
		if (lateness > 0) {
			pool.lateJobs.add(job);
		}

		if (lateness < ignoredLateness) {
			const backlogBefore = pool.backlog;
			for (const steps of job.occurrences.values()) {
				addBacklog(context, pool, steps);
			}

			pool.backlogOfLateJobs += lateness > 0 ? pool.backlog - backlogBefore : 0;
		}
	}
}

/** Priority of the most urgent queue of a service. */
function getPriority({configuration}: Scheduler, service: string): number {
	return Math.min(...configuration.queues.filter(queue => queue.service === service).map(({priority}) => priority), Number.MAX_SAFE_INTEGER);
}

/** Scheduled jobs and those with long-running tasks start at other times than they arrive. */
function isArrival({recovered, definition: {repeatCount, steps}}: ActiveJob): boolean {
	return !recovered && repeatCount === 0 && steps.every(({longRunning}) => !longRunning);
}

/** Demand in thousandths of a core that a pool should serve at once because its arrivals show that a burst has begun; 0 otherwise. */
function measureFirstStep({scheduler, now}: ReducerContext, pool: string, jobs: readonly ActiveJob[]): number {
	const {burstPattern, poolLoads} = scheduler;
	const measuredAt = poolLoads.get(pool)?.demand.measuredAt ?? Number.NEGATIVE_INFINITY;
	const profile = learnArrivals(scheduler, pool, {jobs: jobs.filter(({acceptedAt}) => acceptedAt > measuredAt), now});
	if (profile === undefined) {
		return 0;
	}

	const burst = burstPattern.pools.get(pool);
	if (burst?.isActive) {
		return now - burst.startedAt < firstStepMs ? burst.step : 0;
	}

	const quietRate = (profile.quietArrivals + assumedQuietArrivals) / (profile.quietMs + assumedQuietMs);
	const onset = detectOnset(jobs.map(job => ({at: job.acceptedAt, work: estimateWork(scheduler, job)})), {quietRate, now});
	const height = estimateBurstHeight(burstPattern, pool, onset * maximumOnsetError);
	// Jobs that run longer reach their full demand only after the moved instances have arrived.
	return height === undefined ? onset : height * firstStepFactor * Math.min(1, firstStepMs / Math.max(1, profile.criticalPathMs));
}

/** Capacity in thousandths of a core that each pool would have if all had the same. */
function measureEqualShare({instances}: Scheduler, poolCount: number): number {
	let total = 0;
	for (const {capacity} of instances.values()) {
		total += capacity.cpuMillis;
	}

	return total / Math.max(1, poolCount);
}

/** Demand in thousandths of a core to which a rise is extrapolated at most: an equal share of all instances, or the height of a burst. */
function boundForecast({scheduler}: ReducerContext, pool: string, equalShare: number): number {
	return Math.max(equalShare, (estimateBurstHeight(scheduler.burstPattern, pool) ?? 0) * forecastHeadroom);
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

function addBacklog({scheduler, now}: ReducerContext, pool: PoolLoad, steps: readonly StepState[]): void {
	const capacity = pool.workers[0]?.listing?.capacity;
	for (const step of steps) {
		if (!isStepReady(steps, step)) {
			continue;
		}

		for (const {done, definition, job, tasks, unassignedSince} of step.groups) {
			if (done || tasks.some(({state}) => state !== 'unassigned')) {
				continue;
			}

			// Short tasks can run one after another on the same cores.
			const fraction = definition.longRunning ? 1 : Math.min(1, estimateDuration(scheduler, job, step.step) / backlogTargetMs);
			const need = getReservedResources(definition);
			pool.backlog += tasks.length * fraction * (capacity === undefined ? need.cpuMillis : measureDominantResource(need, capacity));
			pool.unmetLongRunningNeeds += definition.longRunning && now - unassignedSince > starvationMs ? 1 : 0;
		}
	}
}
