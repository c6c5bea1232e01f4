import {findTerms} from './find-terms.js';
import {findWorkerOfInstance} from './find-worker-of-instance.js';
import {forecastDemand} from './forecast-demand.js';
import {isTurn} from './is-turn.js';
import {measureArrival} from './measure-arrival.js';
import {measureDominant} from './measure-dominant.js';
import {measureNeed} from './measure-need.js';
import {type Pass} from './pass.js';
import {rankJob} from './rank-job.js';
import {type PoolLoad, type StepState, type Worker} from './scheduler.js';

/** Waiting work should be done within this time, else more instances are called in; they take about that long to arrive. */
const backlogMs = 700;

/** Time in which arriving jobs are counted. */
const arrivalCountMs = 1000;

/** A lasting task that waits for this long needs another instance, whatever room the pool seems to have in all. */
const starvationMs = 500;

/** An instance that only lasting tasks keep from its upkeep for this long needs another one for them. */
const stuckUpkeepMs = 1500;

/** Lateness from which a job adds nothing to the demand for instances. */
const hopelessLateness = 2;

const noDemand = {measuredAt: 0, smoothed: 0, forecast: 0};

type Arrivals = Map<string, {demand: number; count: number}>;

/**
 * Measures load and room of every pool that is not spare, and forecasts its demand.
 *
 * @param pass - the pass
 * @returns the pools by service
 * @example
 * measurePools(pass).get('planner');
 */
export function measurePools(pass: Pass): Map<string, PoolLoad> {
	const {scheduler, now} = pass;
	const pools = new Map<string, PoolLoad>();
	for (const {name, spare} of scheduler.configuration.pools) {
		if (!spare) {
			pools.set(name, {
				service: name, workers: [], capacity: 0, used: 0, wanted: 0, demand: noDemand, starving: 0,
			});
		}
	}

	const arriving: Arrivals = new Map();
	addWorkers(pass, pools, arriving);
	addStuckUpkeeps(pass, pools);
	addJobs(pass, pools, arriving);
	for (const pool of pools.values()) {
		const {demand = 0, count = 0} = arriving.get(pool.service) ?? {};
		pool.demand = forecastDemand(scheduler.poolLoads.get(pool.service)?.demand, {arriving: demand, arrivals: count, now});
	}

	return pools;
}

function addWorkers({scheduler}: Pass, pools: ReadonlyMap<string, PoolLoad>, arriving: Arrivals): void {
	for (const worker of scheduler.workers.values()) {
		const {listing} = worker;
		const pool = pools.get(listing?.service ?? '');
		if (listing === undefined || pool === undefined || listing.leaving || worker.silent || scheduler.withdrawnZones.has(listing.availabilityZone)) {
			continue;
		}

		pool.workers.push(worker);
		pool.capacity += listing.capacity.cpuMillis;
		pool.used += measureDominant(worker.used, listing.capacity);
		addArriving(arriving, pool.service, {demand: measureLasting(worker), count: 0});
	}
}

/** A pool lacks room for lasting tasks when nothing but them keeps an instance from its upkeep. */
function addStuckUpkeeps({scheduler, now}: Pass, pools: ReadonlyMap<string, PoolLoad>): void {
	for (const {upkeeps} of scheduler.waves.values()) {
		for (const {instance, state, changedAt} of upkeeps.values()) {
			const worker = state === 'emptying' && now - changedAt > stuckUpkeepMs ? findWorkerOfInstance(scheduler, instance) : undefined;
			const pool = pools.get(worker?.listing?.service ?? '');
			if (pool !== undefined && [...worker?.members ?? []].every(({unit}) => unit.definition.longRunning)) {
				pool.starving++;
			}
		}
	}
}

function addJobs(pass: Pass, pools: ReadonlyMap<string, PoolLoad>, arriving: Arrivals): void {
	const {scheduler, now} = pass;
	for (const job of scheduler.jobs.values()) {
		if (job.cancelled || job.end !== undefined) {
			continue;
		}

		const {service} = findTerms(scheduler, job);
		const pool = pools.get(service);
		addArriving(arriving, service, {demand: measureArrival(job, now), count: now - job.arrivedAt < arrivalCountMs ? 1 : 0});
		if (pool !== undefined && rankJob(scheduler, job, now)[2] < hopelessLateness) {
			for (const steps of job.occurrences.values()) {
				addWaiting(pass, pool, steps);
			}
		}
	}
}

function addArriving(arriving: Arrivals, service: string, more: {demand: number; count: number}): void {
	const {demand = 0, count = 0} = arriving.get(service) ?? {};
	arriving.set(service, {demand: demand + more.demand, count: count + more.count});
}

/** Thousandths of a core that tasks that last occupy on a worker. */
function measureLasting({members, listing, used}: Worker): number {
	let lasting = 0;
	for (const {unit: {definition}} of members) {
		lasting += definition.longRunning ? measureDominant(measureNeed(definition), listing?.capacity ?? used) : 0;
	}

	return lasting;
}

function addWaiting({now}: Pass, pool: PoolLoad, steps: readonly StepState[]): void {
	const capacity = pool.workers[0]?.listing?.capacity;
	for (const step of steps) {
		if (!isTurn(steps, step)) {
			continue;
		}

		for (const {done, definition, members, idleSince} of step.units) {
			if (done || members.some(({state}) => state !== 'idle')) {
				continue;
			}

			// Short tasks can follow each other on the same processors.
			const part = definition.longRunning ? 1 : Math.min(1, definition.estimatedMs / backlogMs);
			const need = measureNeed(definition);
			pool.wanted += members.length * part * (capacity === undefined ? need.cpuMillis : measureDominant(need, capacity));
			pool.starving += definition.longRunning && now - idleSince > starvationMs ? 1 : 0;
		}
	}
}
