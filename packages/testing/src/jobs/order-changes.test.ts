import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {measureUsage} from '@rosemaryquay/core/jobs/order/measure-usage';
import {orderJobs} from '@rosemaryquay/core/jobs/order/order-jobs';
import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';
import {OrderSimulation, type SimulatedJob} from './order-simulation.js';

const taskMs = 500;

function configure(weights: {north: number; south: number}, priorities?: {plans: number; watches: number}): Configuration {
	const {queues} = createConfiguration();
	return createConfiguration({
		version: 2,
		queues: queues.map(queue => ({...queue, priority: (queue.name === 'plans' ? priorities?.plans : priorities?.watches) ?? 0})),
		organisations: [{name: 'north', keys: [], weight: weights.north}, {name: 'south', keys: [], weight: weights.south}],
	});
}

/** Two organisations that each demand more than the pool of four workers, for 8 s. */
function simulateContention(initial: Configuration): OrderSimulation {
	const jobs = Array.from({length: 800}, (_, position): SimulatedJob => ({
		job: createJob(`j${position}`, {
			organisation: position % 2 === 0 ? 'north' : 'south',
			queue: position % 4 < 2 ? 'plans' : 'watches',
			acceptedAtMs: position * 10,
			steps: [{count: 4, cpuMillis: 2000, estimatedMs: taskMs}],
		}),
		durationsMs: [Array.from({length: 4}, () => taskMs)],
		objectiveMs: 1400,
	}));
	return new OrderSimulation({
		configuration: initial, workers: createWorkers(4), jobs, order: orderJobs,
	});
}

function measureCores(simulation: OrderSimulation, organisation: string): number {
	return (measureUsage(simulation.scheduler, simulation.now).get('planner')?.usedByOrganisation.get(organisation)?.cpuMillis ?? 0) / 1000;
}

/** Mean cores of an organisation over the next two seconds. */
function averageCores(simulation: OrderSimulation, organisation: string): number {
	const samples: number[] = [];
	const endMs = simulation.now + 2000;
	while (simulation.now < endMs) {
		simulation.runUntil(simulation.now + 100);
		samples.push(measureCores(simulation, organisation));
	}

	return samples.reduce((sum, value) => sum + value, 0) / samples.length;
}

describe('order of jobs when the configuration changes in a burst', () => {
	it('guards against a changed weight that takes effect late', () => {
		const simulation = simulateContention(configure({north: 1, south: 1}));
		simulation.runUntil(2000);
		const before = averageCores(simulation, 'south');
		simulation.scheduler.configuration = configure({north: 1, south: 3});
		const jobs = [...simulation.scheduler.jobs.values()].filter(({started, occurrences}) => !started && occurrences.get(0)?.[0]?.groups.every(({tasks}) => tasks.every(({state}) => state === 'unassigned')));
		assert.equal(orderJobs(simulation.scheduler, jobs, simulation.now)[0]?.definition.organisation, 'south');
		simulation.runUntil(simulation.now + 1000);
		const after = averageCores(simulation, 'south');
		const total = after + measureCores(simulation, 'north');
		assert.ok(Math.abs(before - 32) < 5, `${before} of 64 cores with equal weights`);
		assert.ok(Math.abs(after - 48) < 5, `${after} of 64 cores with three quarters of the weights, ${total} in use`);
	});

	it('guards against a changed priority that takes effect late', () => {
		const simulation = simulateContention(configure({north: 1, south: 1}));
		simulation.runUntil(1000);
		const jobs = [...simulation.scheduler.jobs.values()].filter(({definition}) => definition.organisation === 'north');
		const listQueues = (priorities: {plans: number; watches: number}): string[] => {
			simulation.scheduler.configuration = configure({north: 1, south: 1}, priorities);
			return [...new Set(orderJobs(simulation.scheduler, jobs, simulation.now).map(({definition}) => definition.queue))];
		};

		assert.deepEqual(listQueues({plans: 0, watches: 1}), ['plans', 'watches']);
		assert.deepEqual(listQueues({plans: 1, watches: 0}), ['watches', 'plans']);
	});
});

describe('shares at a takeover in a burst', () => {
	for (const seed of [1, 2, 3]) {
		it(`guards against usage lost or counted twice by the next owner, seed ${seed}`, () => {
			const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(4)});
			fleet.takeOver();
			for (let at = 0; at < 8000; at += 50) {
				fleet.at(at, () => {
					// The organisation north sends eight times as much as south.
					fleet.submit(createJob(`j${at}`, {
						organisation: at % 450 === 0 ? 'south' : 'north', acceptedAtMs: at, steps: [{count: 6, cpuMillis: 2000, estimatedMs: taskMs}],
					}));
				});
			}

			fleet.at(3000, () => {
				fleet.killOwner();
				fleet.takeOver();
			});
			let contendedSamples = 0;
			for (let at = 100; at < 12_000; at += 100) {
				fleet.runUntil(at);
				const {scheduler} = fleet.owner!;
				const measured = measureUsage(scheduler, at).get('planner');
				if ([...scheduler.workers.values()].every(({unreconciledUntil, acknowledgedOwner}) => unreconciledUntil === 0 && acknowledgedOwner) && measured !== undefined) {
					contendedSamples += Number(at > 3000 && scheduler.contention.size > 0);
					for (const name of ['north', 'south']) {
						assert.equal(measured.usedByOrganisation.get(name)?.cpuMillis ?? 0, scheduler.usedByOrganisation.get(name)?.cpuMillis ?? 0, `${name} at ${at} ms`);
					}
				}
			}

			const late = [...fleet.storedJobs.values()].filter(({job, end}) => job.organisation === 'south' && job.acceptedAtMs > 4000 && (end?.endedAtMs ?? Number.POSITIVE_INFINITY) > job.acceptedAtMs + 1400);
			assert.deepEqual(fleet.checker.violations, []);
			assert.ok(contendedSamples > 0);
			assert.equal(late.length, 0, `late jobs of the organisation within its share: ${late.map(({job}) => job.id).join(', ')}`);
			assert.ok(fleet.log.some(({event}) => event === 'order-decided'));
		});
	}
});
