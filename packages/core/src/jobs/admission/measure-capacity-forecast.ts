import {takeoverSettlingMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';

/** Time that a move of an instance to another pool takes at least. */
const moveMs = 1500;

/** Cores of a service in thousandths: those that it has or that are on their way, and those that can arrive later. */
export type CapacityForecast = {
	readonly presentCpuMillis: number;
	readonly laterCpuMillis: number;
	readonly laterMs: number;
};

/**
 * Forecasts the capacity of a service in the best case: moves under way arrive at once, and the service alone gets the
 * instances of the spare pool and those drained for it. Cores of long-running tasks do not count, since these do not end.
 * Idle instances of other pools do not count: those that their pools can spare are under way within one plan of the moves.
 *
 * @param context - the reducer context
 * @param service - name of the service and of its pool
 * @returns the forecast; undefined while the capacity is unknown, for example after a takeover
 * @example
 * measureCapacityForecast(context, 'planner')?.presentCpuMillis;
 */
export function measureCapacityForecast({scheduler, now}: ReducerContext, service: string): CapacityForecast | undefined {
	if (scheduler.instanceListRequestedAt < scheduler.tookOverAt + takeoverSettlingMs) {
		return undefined;
	}

	let presentCpuMillis = 0;
	const counted = new Set<string>();
	for (const {listing, tasks, unreconciledUntil} of scheduler.workers.values()) {
		if (unreconciledUntil > now) {
			return undefined;
		}

		if (listing?.service !== service || scheduler.moves.has(listing.instance)) {
			continue;
		}

		counted.add(listing.instance);
		presentCpuMillis += listing.capacity.cpuMillis;
		for (const {group: {definition}} of tasks) {
			presentCpuMillis -= definition.longRunning && !definition.fills ? definition.cpuMillis : 0;
		}
	}

	let laterCpuMillis = 0;
	const sparePools = new Set(scheduler.configuration.pools.filter(({spare}) => spare).map(({name}) => name));
	for (const {id, pool, state, capacity} of scheduler.instances.values()) {
		const move = scheduler.moves.get(id);
		if (move !== undefined) {
			presentCpuMillis += move.pool === service ? capacity.cpuMillis : 0;
		} else if (state === 'moving') {
			presentCpuMillis += pool === service || sparePools.has(pool) ? capacity.cpuMillis : 0;
		} else if (sparePools.has(pool) || scheduler.drains.get(id)?.pool === service || (pool === service && !counted.has(id))) {
			// An instance of the pool without a listed worker restarts, or is down for an upkeep.
			laterCpuMillis += capacity.cpuMillis;
		}
	}

	return presentCpuMillis + laterCpuMillis > 0 ? {presentCpuMillis: Math.max(0, presentCpuMillis), laterCpuMillis, laterMs: moveMs} : undefined;
}
