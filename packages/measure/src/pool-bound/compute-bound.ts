import {flattenDemand, slotMs} from './flatten-demand.js';
import {listWindows} from './list-windows.js';
import {instanceCpuMillis, type PoolJobs} from './turns.js';

/** Time of a move in seconds, in which the instance serves nobody. */
const moveSeconds = 1.5;

/** Instance-seconds that cost as much as a move (`docs/design/hard-load.md`, package B). */
const movePriceSeconds = 1;

/** What a planner needs that knows the day in advance. */
export type PoolBound = {
	readonly feasibleJobs: number;
	/** Work of the jobs by the cores of an instance: no planner needs less. */
	readonly workSeconds: number;
	readonly instanceSeconds: number;
	readonly moves: number;
	/** Instances outside the spare pool in each slot, over all pools. */
	readonly instances: readonly number[];
};

/**
 * Computes the instance-seconds and moves of a planner that knows the day in advance: the demand of each pool is flattened
 * within the deadlines, and each instance stays over a gap in its use if that costs less than leaving and coming back. An
 * instance that leaves is assumed to move directly to its next pool, so only arrivals count as moves.
 *
 * @param pools - the jobs of each pool and its instances at the start
 * @param durationMs - time to cover, from the start of the load
 * @returns instance-seconds, moves and the instances over time
 * @example
 * computeBound(createTurns({seed: 1, durationMs: 34_000}), 40_000).moves;
 */
export function computeBound(pools: readonly PoolJobs[], durationMs: number): PoolBound {
	const slotCount = Math.ceil(durationMs / slotMs);
	const instances = Array.from({length: slotCount}, () => 0);
	let feasibleJobs = 0;
	let workSeconds = 0;
	let moves = 0;
	for (const {jobs, initialInstances} of pools) {
		const {windows, feasibleJobs: feasible} = listWindows(jobs);
		feasibleJobs += feasible;
		workSeconds += windows.reduce((sum, {work}) => sum + work, 0) * 1000 / instanceCpuMillis;
		const needed = flattenDemand(windows, slotCount).map(cores => Math.ceil(cores * 1000 / instanceCpuMillis));
		for (let level = 1; level <= Math.max(...needed); level++) {
			moves += addInstance(instances, {needed, level, isPresent: level <= initialInstances});
		}
	}

	return {
		feasibleJobs, workSeconds, instanceSeconds: instances.reduce((sum, count) => sum + count, 0) * slotMs / 1000, moves, instances,
	};
}

/** Adds the presence of the instance that serves a level of the demand, and returns its number of arrivals. */
function addInstance(instances: number[], {needed, level, isPresent}: {needed: readonly number[]; level: number; isPresent: boolean}): number {
	const moveSlots = Math.round(moveSeconds * 1000 / slotMs);
	const longestHeldGap = Math.round((moveSeconds + movePriceSeconds) * 1000 / slotMs);
	let arrivals = 0;
	let presentUntil = isPresent ? 0 : Number.NEGATIVE_INFINITY;
	for (const [slot, count] of needed.entries()) {
		if (count < level) {
			continue;
		}

		const isHeld = slot - presentUntil <= longestHeldGap;
		arrivals += isHeld ? 0 : 1;
		for (let before = isHeld ? presentUntil : Math.max(0, slot - moveSlots); before <= slot; before++) {
			instances[before] = (instances[before] ?? 0) + 1;
		}

		presentUntil = slot + 1;
	}

	return arrivals;
}
