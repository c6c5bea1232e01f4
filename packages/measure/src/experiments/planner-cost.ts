/**
 * Measures the time and memory of a plan by size of the fleet, and store writes a day.
 */
import process from 'node:process';
import {createPlan} from '@rosemaryquay/core/maintenance/create-plan';
import {type InstanceRecord} from '@rosemaryquay/core/maintenance/records';
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';
import {createFleet} from '../maintenance/create-fleet.js';
import {simulateRollOut} from '../maintenance/simulate-roll-out.js';

const sizes = [40, 1700, 17_000];
const repetitions = 15;
const weights = {buffer: 1, rollOutTime: 20, moves: 20};
const cycleDays = 42;
const replacementsPerDay = 4900;
const bytesPerMegabyte = 1024 * 1024;

/** Store writes per replaced instance: the record of the new instance and the end of the old one. */
const writesPerReplacement = 2;

/** Memory available to an entry instance in the largest supported fleet (design section 1.5). */
const memoryLimitMb = 128;

/** Writes a second that the store sustains: stated as "several hundred" (design section 1.3), so the lowest plausible value. */
const storeWritesPerSecond = 200;
const secondsPerDay = 86_400;

/** Fraction of the store's write rate that maintenance may use. */
const writeFraction = 0.05;

function measurePlan(instances: number): {ms: number; megabytes: number} {
	const fleet = createFleet({instances, pools: Math.min(22, instances / 8), zones: 25});
	const records = new Map(fleet.instances.map(({
		id, pool, zone, rack,
	}): [string, InstanceRecord] => [id, {
		pool, zone, rack, state: 'in-service', generation: 0, maintainedAt: 0, failedReboots: 0,
	}]));
	const plans: unknown[] = [];
	let shortestMs = Number.POSITIVE_INFINITY;
	const before = process.memoryUsage().heapUsed;
	for (let index = 0; index < repetitions; index++) {
		const startedAt = performance.now();
		plans.push(createPlan(records, {
			id: 'plan-1', utcMs: 0, pools: fleet.rules, sparePools: fleet.sparePools, weights, stepMs: 900_000,
		}));
		shortestMs = Math.min(shortestMs, performance.now() - startedAt);
	}

	// The difference includes garbage from planning, so it is an upper bound of the memory that one plan retains.
	return {ms: shortestMs, megabytes: Math.max(0, process.memoryUsage().heapUsed - before) / bytesPerMegabyte / plans.length};
}

export const plannerCost: Experiment = {
	summary: 'Time and memory of a plan at 40, 1,700 and 17,000 instances, and store writes a day',
	run({seed}) {
		// Warm-up: the result is discarded.
		measurePlan(1700);
		const costs = sizes.map(instances => ({instances, ...measurePlan(instances)}));
		const [, middle, largest] = costs;
		if (middle === undefined || largest === undefined) {
			throw new Error('Expected measurements of three fleet sizes');
		}

		const growth = largest.ms / middle.ms;
		const allowedGrowth = (largest.instances * Math.log(largest.instances)) / (middle.instances * Math.log(middle.instances));
		const {storeWrites} = simulateRollOut(createFleet({instances: middle.instances, pools: 22, zones: 25}), {seed, weights});
		const writesPerDay = (storeWrites / middle.instances * largest.instances / cycleDays) + (replacementsPerDay * writesPerReplacement);
		return {
			bounds: [
				checkBound('growth of the time of a plan relative to n log n, 1,700 to 17,000', growth / allowedGrowth, {comparison: 'atMost', limit: 1, unit: 'ratio'}),
				checkBound('memory of a plan at 17,000 instances', largest.megabytes, {comparison: 'atMost', limit: memoryLimitMb, unit: 'MB'}),
				checkBound('store writes a day at 17,000 instances', Math.round(writesPerDay), {comparison: 'atMost', limit: storeWritesPerSecond * secondsPerDay * writeFraction, unit: 'writes'}),
			],
			baselines: costs.flatMap(({instances, ms, megabytes}) => [
				{
					name: `${instances} instances`, measure: 'time of a plan', unit: 'ms', value: ms,
				},
				{
					name: `${instances} instances`, measure: 'memory of a plan', unit: 'MB', value: megabytes,
				},
			]),
			details: {storeWritesOfRollOutAt1700: storeWrites},
		};
	},
};
