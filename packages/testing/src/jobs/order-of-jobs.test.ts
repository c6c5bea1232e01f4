import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {comparedOrders} from './compared-orders.js';
import {countOutcomes} from './count-outcomes.js';
import {createBurst, type QueueLoad} from './create-burst.js';
import {createConfiguration, createWorkers} from './create-fleet.js';
import {measureTrueWork} from './measure-true-work.js';
import {type JobOrder, OrderSimulation} from './order-simulation.js';

const seeds = [1, 2, 3, 4];
const burstStartMs = 2000;
const burstEndMs = 7000;

/** Queues like those of the first deployment; the pools hold about twice the mean load. */
const queues: ReadonlyArray<{name: string; workers: number; load: QueueLoad}> = [
	{
		name: 'quick', workers: 30, load: {
			jobsPerSecond: 12, steps: 1.6, tasks: 8, taskMs: 1000, cpuMillis: 1500,
		},
	},
	{
		name: 'large', workers: 32, load: {
			jobsPerSecond: 2.2, steps: 2, tasks: 8, taskMs: 2100, cpuMillis: 3300,
		},
	},
];

/** Counts of all seeds together, of all jobs and of the largest tenth. */
function simulateBurst(order: JobOrder, {load, workers}: {load: QueueLoad; workers: number}) {
	const all = {
		jobs: 0, timely: 0, late: 0, useless: 0, worth: 0,
	};
	const largest = {...all};
	for (const seed of seeds) {
		const jobs = createBurst({
			seed, load, durationMs: 22_000, rate: at => at >= burstStartMs && at < burstEndMs ? 5 : (at < burstStartMs ? 1 : 0.05),
		});
		const simulation = new OrderSimulation({
			configuration: createConfiguration(), workers: createWorkers(workers), jobs, order,
		});
		simulation.runUntil(50_000);
		const meanWork = jobs.reduce((sum, job) => sum + measureTrueWork(job), 0) / jobs.length;
		const bySize = jobs.toSorted((left, right) => measureTrueWork(right) - measureTrueWork(left));
		for (const [total, counted] of [[all, bySize], [largest, bySize.slice(0, Math.ceil(bySize.length / 10))]] as const) {
			const outcomes = countOutcomes(counted, simulation.latencies, meanWork);
			total.jobs += outcomes.jobs;
			total.timely += outcomes.timely;
			total.late += outcomes.late;
			total.useless += outcomes.useless;
			total.worth += outcomes.worth / seeds.length;
		}
	}

	return {all, largest};
}

describe('order of jobs in a burst of five times the mean for 5 s, with estimates off by a factor of up to 2.5', () => {
	for (const queue of queues) {
		it(`guards against an order that serves callers worse than the compared ones, ${queue.name} jobs`, context => {
			const results = new Map(Object.entries(comparedOrders).map(([name, order]) => [name, simulateBurst(order, queue)]));
			for (const [name, {all, largest}] of results) {
				context.diagnostic(`${name}: ${all.timely} timely, ${all.late} late, ${all.useless} useless of ${all.jobs}, worth ${all.worth.toFixed(3)}; largest tenth ${largest.timely}, ${largest.late}, ${largest.useless} of ${largest.jobs}, worth ${largest.worth.toFixed(3)}`);
			}

			const chosen = results.get('orderJobs');
			assert.ok(chosen !== undefined);
			for (const [name, {all}] of results) {
				assert.ok(chosen.all.worth >= all.worth, `worth ${chosen.all.worth} with the chosen order, ${all.worth} with ${name}`);
			}

			const previous = results.get('previous');
			assert.ok(chosen.largest.worth >= (previous?.largest.worth ?? 1), `worth of the largest tenth ${chosen.largest.worth}, with the previous order ${previous?.largest.worth}`);
		});
	}
});
