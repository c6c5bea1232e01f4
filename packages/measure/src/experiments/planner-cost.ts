/**
 * Time and memory of a plan by size of the fleet, and store writes a day.
 */
import process from 'node:process';
import {createPlan} from '@rosemaryquay/core/maintenance/create-plan';
import {type InstanceRecord} from '@rosemaryquay/core/maintenance/records';
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';
import {createFleet} from '../maintenance/create-fleet.js';
import {rollOut} from '../maintenance/roll-out.js';

const sizes = [40, 1700, 17_000];
const repeats = 15;
const weights = {buffer: 1, rollOutTime: 20, moves: 20};
const cycleDays = 42;
const replacementsPerDay = 4900;
const bytesPerMegabyte = 1024 * 1024;

/** Writes of one replacement: the record of the new instance and the end of the old one. */
const writesPerReplacement = 2;

/** Memory of an entry instance at the design size (design section 1.5). */
const memoryLimitMb = 128;

/** Writes a second of the store, in the smallest reading of "several hundred" (design section 1.3). */
const storeWritesPerSecond = 200;
const secondsPerDay = 86_400;

/** Part of the store's writes that maintenance may take. */
const writesShare = 0.05;

function measurePlan(instances: number): {ms: number; megabytes: number} {
	const fleet = createFleet({instances, pools: Math.min(22, instances / 8), zones: 25});
	const records = new Map(fleet.instances.map(({
		id, pool, zone, rack,
	}): [string, InstanceRecord] => [id, {
		pool, zone, rack, state: 'in-service', generation: 0, maintainedAt: 0, failedReboots: 0,
	}]));
	const plans: unknown[] = [];
	let best = Number.POSITIVE_INFINITY;
	const before = process.memoryUsage().heapUsed;
	for (let index = 0; index < repeats; index++) {
		const started = performance.now();
		plans.push(createPlan(records, {
			id: 'plan-1', utcMs: 0, pools: fleet.rules, sparePools: fleet.spares, weights, stepMs: 900_000,
		}));
		best = Math.min(best, performance.now() - started);
	}

	// Garbage of the plans counts too, so that the figure is an upper bound of what one plan keeps.
	return {ms: best, megabytes: Math.max(0, process.memoryUsage().heapUsed - before) / bytesPerMegabyte / plans.length};
}

export const plannerCost: Experiment = {
	summary: 'Time and memory of a plan at 40, 1,700 and 17,000 instances, and store writes a day',
	run({seed}) {
		measurePlan(1700);
		const costs = sizes.map(instances => ({instances, ...measurePlan(instances)}));
		const [, middle, largest] = costs;
		if (middle === undefined || largest === undefined) {
			throw new Error('Three sizes are measured');
		}

		const growth = largest.ms / middle.ms;
		const allowed = (largest.instances * Math.log(largest.instances)) / (middle.instances * Math.log(middle.instances));
		const {storeWrites} = rollOut(createFleet({instances: middle.instances, pools: 22, zones: 25}), {seed, weights});
		const writesPerDay = (storeWrites / middle.instances * largest.instances / cycleDays) + (replacementsPerDay * writesPerReplacement);
		return {
			bounds: [
				checkBound('growth of the time of a plan relative to n log n, 1,700 to 17,000', growth / allowed, {comparison: 'atMost', limit: 1, unit: 'ratio'}),
				checkBound('memory of a plan at 17,000 instances', largest.megabytes, {comparison: 'atMost', limit: memoryLimitMb, unit: 'MB'}),
				checkBound('store writes a day at 17,000 instances', Math.round(writesPerDay), {comparison: 'atMost', limit: storeWritesPerSecond * secondsPerDay * writesShare, unit: 'writes'}),
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
