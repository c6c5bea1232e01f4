import {type PoolPolicy} from '@rosemaryquay/core/jobs/pools/pool-policy';
import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Instances of each pool before the first plan, a third of the fleet of `docs/design/hard-load.md`. */
const initialSizes = {
	'quick-a': 15, 'large-a': 16, 'quick-b': 18, 'large-b': 20,
} as const;

type PoolName = keyof typeof initialSizes;

const spareInstances = 13;
const instancesPerRack = 12;
const sampleIntervalMs = 50;
const stretch = 1.6;
const targetLatencyMs = 600;
const lateObjectiveMultiple = 3;

/** Time before the first job, in which the planner brings the pools to their minimum sizes. */
const warmUpMs = 6000;

/** Tasks of a job, their cores in thousandths and their mean run time; the rate is the mean of the jobs per second. */
const loads: Readonly<Record<PoolName, {jobsPerSecond: number; steps: number; cpuMillis: number; durationMs: number}>> = {
	'quick-a': {
		jobsPerSecond: 4, steps: 1.6, cpuMillis: 1500, durationMs: 1000,
	},
	'large-a': {
		jobsPerSecond: 0.75, steps: 2, cpuMillis: 3300, durationMs: 2100,
	},
	'quick-b': {
		jobsPerSecond: 4, steps: 1.6, cpuMillis: 1500, durationMs: 1000,
	},
	'large-b': {
		jobsPerSecond: 0.75, steps: 2, cpuMillis: 3300, durationMs: 2100,
	},
};

const poolNames = Object.keys(initialSizes) as PoolName[];

/** Relation of the demand of a pool to its mean during its turn, and outside of it. */
const burstFactor = 4.5;
const quietFactor = 0.05;

/** Load and policy of a simulation. */
export type PoolTurnsOptions = {
	readonly seed: number;
	readonly policy: PoolPolicy;
	/** Length of the load in milliseconds. */
	readonly durationMs?: number;
	/** Pool whose turn it is, by the time since the start of the load; undefined if all are quiet. */
	readonly getTurn?: (sinceStartMs: number) => PoolName | undefined;
	/** Jobs of 24 long-running tasks each that run beside the load, each for 6 s. */
	readonly longRunningJobs?: number;
	/** Called with the fleet before the load starts, to inject faults. */
	readonly prepare?: (fleet: FleetModel) => void;
};

/** Instance-seconds by what the instances do, and what the callers get. */
export type PoolTurnsResult = {
	readonly fleet: FleetModel;
	readonly moves: number;
	readonly jobs: number;
	readonly inTime: number;
	readonly late: number;
	/** Jobs within their objective among those submitted in the first five seconds of load. */
	readonly firstJobs: number;
	readonly firstInTime: number;
	/** Instance-seconds outside the spare pool: with a task, idle, moving. */
	readonly seconds: {total: number; idle: number; moving: number; longRunningOnly: number; busy: number; coresInUse: number};
};

/** Length of a turn in milliseconds. */
export const turnMs = 5000;

/** Returns the pool whose turn it is when the pools take turns of equal length. */
function getRegularTurn(sinceStartMs: number): PoolName | undefined {
	return poolNames[Math.floor(sinceStartMs / turnMs) % poolNames.length];
}

/**
 * Simulates pools whose demand rises to several times its mean in turn, on the model of a fleet with a spare pool.
 *
 * @param options - seed, planning policy and load
 * @returns instance-seconds, moves, and jobs within their objective and late
 * @example
 * simulatePoolTurns({seed: 1, policy: defaultPoolPolicy}).seconds.total;
 */
export function simulatePoolTurns(options: PoolTurnsOptions): PoolTurnsResult {
	const {seed, policy, durationMs = 34_000, getTurn = getRegularTurn, longRunningJobs = 0, prepare} = options;
	const fleet = createPools(seed, policy);
	const submitted = submitLoad(fleet, {durationMs, getTurn});
	for (let index = 0; index < longRunningJobs; index++) {
		submitLongRunning(fleet, {id: `watch${index}`, at: warmUpMs + (index * 4000), service: poolNames[index % poolNames.length] ?? 'quick-a'});
	}

	prepare?.(fleet);
	const seconds = {
		total: 0, idle: 0, moving: 0, longRunningOnly: 0, busy: 0, coresInUse: 0,
	};
	const step = sampleIntervalMs / 1000;
	for (let at = 0; at < warmUpMs + durationMs; at += sampleIntervalMs) {
		fleet.runUntil(at);
		if (fleet.owner !== undefined) {
			fleet.owner.scheduler.poolPolicy = policy;
		}

		if (at >= warmUpMs) {
			addSample(fleet, seconds, step);
		}
	}

	fleet.runUntil(warmUpMs + durationMs + 15_000);
	let inTime = 0;
	let late = 0;
	let firstJobs = 0;
	let firstInTime = 0;
	for (const {id, at, objectiveMs} of submitted) {
		const latencyMs = (fleet.storedJobs.get(id)?.end?.endedAtMs ?? Number.POSITIVE_INFINITY) - at;
		const isInTime = latencyMs <= objectiveMs;
		inTime += Number(isInTime);
		late += Number(!isInTime && latencyMs <= lateObjectiveMultiple * objectiveMs);
		firstJobs += Number(at < warmUpMs + turnMs);
		firstInTime += Number(isInTime && at < warmUpMs + turnMs);
	}

	return {
		fleet, moves: fleet.moveCount, jobs: submitted.length, inTime, late, firstJobs, firstInTime, seconds,
	};
}

function createPools(seed: number, policy: PoolPolicy): FleetModel {
	const configuration = createConfiguration({
		queues: poolNames.map(name => ({
			name, host: 'jobs.example', pathPrefix: `/${name}/`, service: name, maximumAttempts: 3, stretch, targetLatencyMs, priority: name.startsWith('quick') ? 0 : 1,
		})),
		pools: [...poolNames.map(name => ({name})), {name: 'reserve', spare: true}],
	});
	const workers = poolNames.flatMap(service => createWorkers(initialSizes[service], {service}).map((worker, position) => ({
		...worker, id: `${service}-${worker.id}`, instance: `${service}-${worker.instance}`, rack: `${service}-${Math.floor(position / instancesPerRack)}`,
	})));
	const capacity = {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0};
	const instances: ListedInstance[] = [
		...workers.map(({id, instance, service, availabilityZone}) => ({
			id: instance, pool: service, state: 'up' as const, availabilityZone, capacity, worker: id,
		})),
		...Array.from({length: spareInstances}, (_, position) => ({
			id: `spare${position}`, pool: 'reserve', state: 'up' as const, availabilityZone: 'east', capacity, worker: '',
		})),
	];
	// Run times differ by a factor of up to 2 from their estimate, in the same way in every run with the same jobs.
	const fleet = new FleetModel({
		seed, configuration, workers, instances, getBehaviour: (task, {steps}) => ({durationMs: (steps[0]?.estimatedMs ?? 0) * drawFactor(task)}),
	});
	fleet.takeOver();
	if (fleet.owner !== undefined) {
		fleet.owner.scheduler.poolPolicy = policy;
	}

	return fleet;
}

/** Draws a factor between 0.5 and 1.5 from the name of a task. */
function drawFactor(task: string): number {
	let hash = 7;
	for (const character of task) {
		hash = ((hash * 31) + (character.codePointAt(0) ?? 0)) % 1009;
	}

	return 0.5 + (hash / 1009);
}

type Submission = {readonly id: string; readonly at: number; readonly objectiveMs: number};

function submitLoad(fleet: FleetModel, options: {durationMs: number; getTurn: (sinceStartMs: number) => PoolName | undefined}): Submission[] {
	const {durationMs, getTurn} = options;
	const submitted: Submission[] = [];
	for (const name of poolNames) {
		const {jobsPerSecond, steps, cpuMillis, durationMs: estimatedMs} = loads[name];
		for (let at = 0; at < durationMs;) {
			const rate = jobsPerSecond * (getTurn(at) === name ? burstFactor : quietFactor) / 1000;
			// Steps are short compared with the gaps of a quiet pool, so that the start of a turn is met exactly.
			at += 10;
			if (fleet.draw(0, 99_999) >= rate * 10 * 100_000) {
				continue;
			}

			const stepCount = fleet.draw(0, 99) < (steps - 1) * 100 ? 2 : 1;
			const id = `${name}-${at}`;
			submitted.push({id, at: warmUpMs + at, objectiveMs: (stretch * stepCount * estimatedMs) + targetLatencyMs});
			fleet.at(warmUpMs + at, () => {
				fleet.submit(createJob(id, {
					queue: name,
					service: name,
					acceptedAtMs: fleet.now,
					steps: Array.from({length: stepCount}, (_, position) => ({
						count: 8, cpuMillis, memoryMb: 1024, estimatedMs, after: position === 0 ? [] : [position - 1],
					})),
				}));
			});
		}
	}

	return submitted;
}

function submitLongRunning(fleet: FleetModel, options: {id: string; at: number; service: PoolName}): void {
	const {id, at, service} = options;
	fleet.at(at, () => {
		fleet.submit(createJob(id, {
			queue: service, service, acceptedAtMs: fleet.now, steps: [{
				count: 24, cpuMillis: 1000, memoryMb: 512, longRunning: true, mayMiss: 6,
			}],
		}));
	});
	fleet.at(at + 6000, () => {
		fleet.cancel(id);
	});
}

function addSample(fleet: FleetModel, seconds: PoolTurnsResult['seconds'], step: number): void {
	const known = fleet.owner?.scheduler.workers;
	for (const {pool, state, worker} of fleet.instances.values()) {
		if (pool === 'reserve') {
			continue;
		}

		seconds.total += step;
		const running = fleet.workers.get(worker)?.running ?? [];
		const used = known?.get(worker)?.used.cpuMillis ?? 0;
		seconds.coresInUse += used / 1000 * step;
		if (state !== 'up') {
			seconds.moving += step;
		} else if (running.length === 0) {
			seconds.idle += step;
		} else if (running.every(task => task.startsWith('watch'))) {
			seconds.longRunningOnly += step;
		} else {
			seconds.busy += step;
		}
	}
}
