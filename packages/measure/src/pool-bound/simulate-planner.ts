import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {createConfiguration, createWorkers} from '@rosemaryquay/testing/jobs/create-fleet';
import {FleetModel} from '@rosemaryquay/testing/jobs/fleet-model';
import {slotMs} from './flatten-demand.js';
import {instanceCpuMillis, type PoolJobs} from './turns.js';

/** Time before the first job, in which the planner brings the pools to their minimum sizes. */
const warmUpMs = 6000;

/** Time after the load for the last jobs to end. */
const drainMs = 15_000;

const spareInstances = 13;
const sparePool = 'reserve';
const instancesPerRack = 12;
const stretch = 1.6;
const targetLatencyMs = 600;

/** What the planner of the product needs for the same jobs. */
export type PlannerResult = {readonly jobs: number; readonly inTime: number; readonly instanceSeconds: number; readonly moves: number; readonly instances: readonly number[]};

/**
 * Runs the planner of the product on the jobs, on the model of a fleet.
 *
 * @param pools - the jobs of each pool and its instances at the start
 * @param options - seed, and time to cover from the start of the load in milliseconds
 * @returns jobs in time, instance-seconds outside the spare pool, moves, and the instances over time
 * @example
 * simulatePlanner(pools, {seed: 1, durationMs: 40_000}).instanceSeconds;
 */
export function simulatePlanner(pools: readonly PoolJobs[], {seed, durationMs}: {seed: number; durationMs: number}): PlannerResult {
	const fleet = createFleet(pools, seed);
	const jobs = pools.flatMap(pool => pool.jobs);
	for (const {job} of jobs) {
		fleet.at(warmUpMs + job.acceptedAtMs, () => {
			fleet.submit({...job, acceptedAtMs: fleet.now});
		});
	}

	fleet.takeOver();
	fleet.runUntil(warmUpMs);
	const movesBefore = fleet.moveCount;
	const instances: number[] = [];
	for (let at = 0; at < durationMs; at += slotMs) {
		fleet.runUntil(warmUpMs + at);
		instances.push([...fleet.instances.values()].filter(({pool}) => pool !== sparePool).length);
	}

	const moves = fleet.moveCount - movesBefore;
	fleet.runUntil(warmUpMs + durationMs + drainMs);
	const inTime = jobs.filter(({job, objectiveMs}) => (fleet.storedJobs.get(job.id)?.end?.endedAtMs ?? Number.POSITIVE_INFINITY) - warmUpMs - job.acceptedAtMs <= objectiveMs).length;
	return {
		jobs: jobs.length, inTime, instanceSeconds: instances.reduce((sum, count) => sum + count, 0) * slotMs / 1000, moves, instances,
	};
}

function createFleet(pools: readonly PoolJobs[], seed: number): FleetModel {
	const capacity = {cpuMillis: instanceCpuMillis, memoryMb: 32_768, accelerators: 0};
	const durations = new Map(pools.flatMap(({jobs}) => jobs.map(({job, durationsMs}) => [job.id, durationsMs])));
	const workers = pools.flatMap(({pool, initialInstances}) => createWorkers(initialInstances, {service: pool, capacity}).map((worker, position) => ({
		...worker, id: `${pool}-${worker.id}`, instance: `${pool}-${worker.instance}`, rack: `${pool}-${Math.floor(position / instancesPerRack)}`,
	})));
	const instances: ListedInstance[] = [
		...workers.map(({id, instance, service, availabilityZone}) => ({
			id: instance, pool: service, state: 'up' as const, availabilityZone, capacity, worker: id,
		})),
		...Array.from({length: spareInstances}, (_, position) => ({
			id: `spare${position}`, pool: sparePool, state: 'up' as const, availabilityZone: 'east', capacity, worker: '',
		})),
	];
	return new FleetModel({
		seed,
		configuration: createConfiguration({
			queues: pools.map(({pool}) => ({
				name: pool, host: 'jobs.example', pathPrefix: `/${pool}/`, service: pool, maximumAttempts: 3, stretch, targetLatencyMs, priority: pool.startsWith('quick') ? 0 : 1,
			})),
			pools: [...pools.map(({pool}) => ({name: pool})), {name: sparePool, spare: true}],
		}),
		workers,
		instances,
		getBehaviour(task, {id}) {
			// The id of a task ends with its step and its position in the step.
			const [step = 0, index = 0] = task.split('.').slice(-2).map(Number);
			return {durationMs: durations.get(id)?.[step]?.[index] ?? 0};
		},
	});
}
