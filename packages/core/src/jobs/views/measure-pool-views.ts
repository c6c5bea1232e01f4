import {listSchedulableWorkers} from '../placement/list-schedulable-workers.js';
import {measureReserves} from '../pools/measure-reserves.js';
import {type Scheduler} from '../state/scheduler.js';
import {observeForecast} from './observe-forecast.js';
import {type PoolView} from './view-schema.js';

/** Step to which forecasts and their errors are rounded, in thousandths of a core: the decay of the smoothed demand of an idle pool must not change the view. */
const forecastStep = 100;

type InstanceCounts = {instances: number; arriving: number; departing: number};

const noInstances: InstanceCounts = {instances: 0, arriving: 0, departing: 0};

/**
 * Measures the state of the pools for the view of the schedule.
 *
 * @param scheduler - the state; the histories of the forecasts are changed
 * @param now - local time in milliseconds
 * @returns the pools, in the order of the configuration
 * @example
 * measurePoolViews(scheduler, now)[0]?.schedulable;
 */
export function measurePoolViews(scheduler: Scheduler, now: number): PoolView[] {
	const {configuration, poolLoads} = scheduler;
	const schedulable = listSchedulableWorkers(scheduler, now);
	const reserves = measureReserves(scheduler, [...poolLoads.keys()], now);
	const counts = countInstances(scheduler);
	const pools: PoolView[] = [];
	for (const {name, spare} of configuration.pools) {
		const workers = {schedulable: schedulable.get(name)?.length ?? 0, kept: reserves.get(name)?.kept ?? 0};
		pools.push({
			name, spare, ...noInstances, ...counts.get(name), ...workers, ...measureLoad(scheduler, name),
		});
	}

	return pools;
}

/** Counts the instances of each pool, and those that move to it or away from it. */
function countInstances({configuration, instances, moves}: Scheduler): Map<string, InstanceCounts> {
	const counts = new Map(configuration.pools.map(({name}) => [name, {...noInstances}]));
	for (const {id, pool} of instances.values()) {
		const count = counts.get(pool);
		if (count !== undefined) {
			count.instances++;
			count.departing += Number((moves.get(id)?.pool ?? pool) !== pool);
		}
	}

	for (const {instance, pool} of moves.values()) {
		const count = counts.get(pool);
		if (count !== undefined && instances.get(instance)?.pool !== pool) {
			count.arriving++;
		}
	}

	return counts;
}

/** Load and forecast of a pool as its moves were last planned. */
function measureLoad({poolLoads, views}: Scheduler, name: string) {
	const load = poolLoads.get(name);
	if (load === undefined) {
		return {
			workers: 0, capacity: 0, used: 0, forecast: 0, forecastError: 0,
		};
	}

	const history = views.forecasts.get(name) ?? {forecasts: [], errors: []};
	views.forecasts.set(name, history);
	return {
		workers: load.workers.length,
		capacity: load.capacity,
		used: Math.round(load.used),
		forecast: roundForecast(load.demand.forecast),
		forecastError: roundForecast(observeForecast(history, load.demand)),
	};
}

function roundForecast(value: number): number {
	return Math.round(value / forecastStep) * forecastStep;
}
