import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {comparedOrders} from './compared-orders.js';
import {createBurst} from './create-burst.js';
import {createConfiguration, createWorkers} from './create-fleet.js';
import {type JobOrder, OrderSimulation, type SimulatedJob} from './order-simulation.js';

const seeds = [1, 2, 3];
/** Multiple of the mean load that the organisations send at their usual rate; the pool holds about twice the mean. */
const usualLoad = 1.5;
const hotLoad = 10;
const giantFactor = 6;
const jobsPerSecond = 12;

/** 20 organisations whose weights are proportional to 1, 1/2, 1/3 and so on; each sends jobs in proportion to its weight. */
const inverses = Array.from({length: 20}, (_, position) => 1 / (position + 1));
const organisations = inverses.map((inverse, position) => ({
	name: `o${position}`, keys: [], weight: jobsPerSecond * inverse / inverses.reduce((sum, value) => sum + value, 0),
}));
const hotNames: ReadonlySet<string> = new Set(['o4', 'o9']);
const giantName = 'o1';

function createLoad(seed: number, isDisturbed: boolean): SimulatedJob[] {
	return organisations.flatMap(({name, weight}, position) => {
		const isOther = !hotNames.has(name) && name !== giantName;
		return isOther || isDisturbed
			? createBurst({
				seed: (seed * 100) + position,
				load: {
					jobsPerSecond: weight, steps: 1.6, tasks: 8 * (name === giantName ? giantFactor : 1), taskMs: 1000, cpuMillis: 1500,
				},
				rate: () => usualLoad * (hotNames.has(name) ? hotLoad : 1),
				durationMs: 12_000,
				organisation: () => name,
				name: `${name}-`,
				hasTrueObjective: true,
			})
			: [];
	});
}

/** Number of jobs of the organisations at their usual load that are done within their objective. */
function countTimelyJobsOfOthers(order: JobOrder, isDisturbed: boolean): number {
	let count = 0;
	for (const seed of seeds) {
		const jobs = createLoad(seed, isDisturbed);
		const simulation = new OrderSimulation({
			configuration: createConfiguration({organisations}), workers: createWorkers(30), jobs, order,
		});
		simulation.runUntil(30_000);
		count += jobs.filter(({job, objectiveMs}) => !hotNames.has(job.organisation) && job.organisation !== giantName && (simulation.latencies.get(job.id) ?? Number.POSITIVE_INFINITY) <= objectiveMs).length;
	}

	return count;
}

describe('shares of 20 organisations, two at ten times their usual load and one whose jobs are large', () => {
	it('guards against jobs of the others pushed back by more than 5 %', context => {
		const [previous, chosen] = ['previous', 'orderJobs'].map(name => {
			const order = comparedOrders[name]!;
			const alone = countTimelyJobsOfOthers(order, false);
			const disturbed = countTimelyJobsOfOthers(order, true);
			context.diagnostic(`${name}: ${alone} jobs of the others within their objective without the three organisations, ${disturbed} beside them`);
			return disturbed / alone;
		});
		assert.ok((chosen ?? 0) >= 0.95, `the others keep ${chosen} of their timely jobs, ${previous} with the previous order`);
		assert.ok((chosen ?? 0) > (previous ?? 0));
	});
});
