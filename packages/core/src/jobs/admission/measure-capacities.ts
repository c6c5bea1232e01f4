import {type ReducerContext} from '../state/reducer-context.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';

/** Cores of a service in the best case, in thousandths. */
export type CapacityForecast = {
	/** Cores that it has, and those of moves under way. */
	presentCpuMillis: number;
	/** Cores that can arrive later. */
	laterCpuMillis: number;
	/** Most cores that are free on one worker that may get tasks. */
	freeCpuMillis: number;
};

/**
 * Measures the capacities of services in the best case: moves under way arrive at once, and each service alone gets the
 * instances that are idle, in the spare pool or drained for it.
 *
 * @param context - the reducer context
 * @param services - names of the services
 * @returns the capacities by service
 * @example
 * measureCapacities(context, new Set(['planner'])).get('planner')?.presentCpuMillis;
 */
export function measureCapacities({scheduler, now}: ReducerContext, services: ReadonlySet<string>): Map<string, CapacityForecast> {
	const forecasts = new Map<string, CapacityForecast>();
	for (const service of services) {
		forecasts.set(service, {presentCpuMillis: 0, laterCpuMillis: 0, freeCpuMillis: 0});
	}

	const workers = new Map<string, Worker>();
	for (const worker of scheduler.workers.values()) {
		const {listing, used} = worker;
		if (listing === undefined || scheduler.moves.has(listing.instance)) {
			continue;
		}

		workers.set(listing.instance, worker);
		const forecast = forecasts.get(listing.service);
		if (forecast === undefined) {
			continue;
		}

		forecast.presentCpuMillis += listing.capacity.cpuMillis;
		if (mayGetTasks(scheduler, worker, now)) {
			forecast.freeCpuMillis = Math.max(forecast.freeCpuMillis, listing.capacity.cpuMillis - used.cpuMillis);
		}
	}

	addInstances(scheduler, forecasts, workers);
	return forecasts;
}

/** Adds the instances that a service has without a worker, gets, or may get. */
function addInstances(scheduler: Scheduler, forecasts: ReadonlyMap<string, CapacityForecast>, workers: ReadonlyMap<string, Worker>): void {
	const {configuration, instances, moves, drains} = scheduler;
	const sparePools = new Set(configuration.pools.filter(({spare}) => spare).map(({name}) => name));
	const add = (pool: string, part: 'presentCpuMillis' | 'laterCpuMillis', cpuMillis: number): void => {
		const forecast = forecasts.get(pool);
		if (forecast !== undefined) {
			forecast[part] += cpuMillis;
		}
	};

	let anywhere = 0;
	for (const {id, pool, state, capacity: {cpuMillis}} of instances.values()) {
		const target = moves.get(id)?.pool;
		const worker = workers.get(id);
		if (sparePools.has(target ?? pool)) {
			anywhere += cpuMillis;
		} else if (target !== undefined || state === 'moving') {
			add(target ?? pool, 'presentCpuMillis', cpuMillis);
		} else if (worker === undefined) {
			// Its worker restarts, or is down for an upkeep.
			add(pool, 'laterCpuMillis', cpuMillis);
		} else if (worker.tasks.size === 0) {
			anywhere += cpuMillis;
		} else {
			add(drains.get(id)?.pool ?? '', 'laterCpuMillis', cpuMillis);
		}
	}

	for (const forecast of forecasts.values()) {
		forecast.laterCpuMillis += anywhere;
	}
}

/** The part of the rules of `listSchedulableWorkers` that takes no look at the tasks. */
function mayGetTasks({withdrawnZones}: Scheduler, {listing, acknowledgedOwner, unresponsive, cordoned, backoffUntil}: Worker, now: number): boolean {
	return listing !== undefined && !listing.leaving && acknowledgedOwner && !unresponsive && !cordoned && now >= backoffUntil && !withdrawnZones.has(listing.availabilityZone);
}
