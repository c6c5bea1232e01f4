import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {changeOwner} from './change-owner.js';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const workerCount = 8;
const submittedAt = 8000;
const crashAt = submittedAt + 1000;

/** Each long-running task has to run again 6 s after its last run, and is late 3 s after that. */
const lateAfterMs = 9000;

type Step = Job['steps'][number];

const step = {
	cpuMillis: 500, memoryMb: 128, estimatedMs: 1000, longRunning: true,
} as const;

type Variant = {
	/** Steps of each job that is submitted shortly before the crash. */
	readonly jobs: ReadonlyArray<ReadonlyArray<Pick<Step, 'count'> & Partial<Step>>>;
	/** Workers that long-running tasks of another job fill. */
	readonly filled?: number;
	/** Workers that crash at once, those with most tasks first. */
	readonly crashes?: number;
	/** Time after which they are back; never if undefined. */
	readonly downMs?: number;
	readonly isOwnerKilled?: boolean;
	/** Tasks that crash their workers at each start. */
	readonly culprits?: readonly string[];
};

const single = (count: number): Variant['jobs'] => Array.from({length: count}, () => [{count: 1}]);

const variants: Readonly<Record<string, Variant>> = {
	'eight of 32 tasks of a step': {jobs: [[{count: 32}]], filled: 4, downMs: 500},
	'eight of 32 tasks of a step, and the worker is lost for good': {jobs: [[{count: 32}]], filled: 4},
	'all tasks of a step': {jobs: [[{count: 8, mayMiss: 8}]], filled: 4, downMs: 500},
	'all tasks of a step, and the worker is lost for good': {jobs: [[{count: 8, mayMiss: 8}]], filled: 4},
	'one task of each of eight steps': {jobs: [Array.from({length: 8}, () => ({count: 1}))], filled: 4, downMs: 500},
	'one task of each of 11 jobs': {jobs: single(11), filled: 4, downMs: 500},
	'one task of each of 11 jobs, and the worker is lost for good': {jobs: single(11), filled: 5},
	'tasks of two jobs': {jobs: [[{count: 8, mayMiss: 8}], [{count: 8, mayMiss: 8}]], filled: 4, downMs: 500},
	'tasks on two workers that crash at once': {
		jobs: [[{count: 32}]], filled: 4, crashes: 2, downMs: 4500,
	},
	'tasks on two workers that are lost for good at once': {jobs: [[{count: 8, mayMiss: 8}], [{count: 32}]], filled: 2, crashes: 2},
	'eight of 32 tasks of a step, while the owner is killed': {
		jobs: [[{count: 32}]], filled: 4, downMs: 500, isOwnerKilled: true,
	},
	'one task of each of 11 jobs, while the owner is killed': {
		jobs: single(11), filled: 4, downMs: 500, isOwnerKilled: true,
	},
};

function createFleet(seed: number, variant: Variant): FleetModel {
	const {jobs, filled = 0, crashes = 1, downMs, isOwnerKilled = false, culprits = []} = variant;
	const fleet = new FleetModel({
		seed, configuration: createConfiguration(), workers: createWorkers(workerCount), getBehaviour: task => ({crashesWorker: culprits.includes(task)}),
	});
	fleet.takeOver();
	if (filled > 0) {
		fleet.submit(createJob('filling', {
			steps: [{
				...step, count: filled, cpuMillis: 16_000,
			}],
		}));
	}

	fleet.at(submittedAt, () => {
		for (const [index, steps] of jobs.entries()) {
			fleet.submit(createJob(`lasting${index}`, {acceptedAtMs: fleet.now, steps: steps.map(changes => ({...step, ...changes}))}));
		}
	});
	if (culprits.length > 0) {
		return fleet;
	}

	fleet.at(crashAt, () => {
		const loads = [...fleet.workers.keys()].map(id => ({id, count: listTasks(fleet).filter(task => !task.startsWith('filling') && findWorker(fleet, task) === id).length}));
		for (const {id, count} of loads.toSorted((left, right) => right.count - left.count).slice(0, crashes)) {
			assert.ok(count > 0, `${id} has no task`);
			if (downMs === undefined) {
				fleet.removeWorker(id);
			} else {
				fleet.restartWorker(id, downMs);
			}
		}
	});
	if (isOwnerKilled) {
		changeOwner(fleet, {killedAt: crashAt + 300, takenOverAt: crashAt + 1300});
	}

	return fleet;
}

function listTasks(fleet: FleetModel): string[] {
	return [...fleet.owner?.scheduler.tasks.keys() ?? []];
}

function findWorker(fleet: FleetModel, task: string): string | undefined {
	return fleet.owner?.scheduler.tasks.get(task)?.worker?.id;
}

describe('long-running tasks that are lost with a worker just after their start', () => {
	for (const [name, variant] of Object.entries(variants)) {
		it(`guards against sound tasks that wait for isolation one after another: ${name}`, () => {
			for (let seed = 1; seed <= 3; seed++) {
				const fleet = createFleet(seed, variant);
				fleet.runUntil(crashAt - 1);
				const tasks = listTasks(fleet);
				assert.ok(tasks.every(task => fleet.checker.isRunning(task)));
				fleet.runUntil(crashAt + lateAfterMs);
				assert.deepEqual(tasks.filter(task => !fleet.checker.isRunning(task)), [], `seed ${seed}`);
				assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			}
		});
	}

	it('guards against many workers that one task takes down because the others of its step are started beside it', () => {
		const fleet = createFleet(1, {jobs: [[{count: 8, mayMiss: 8}], [{count: 8, mayMiss: 8}]], filled: 2, culprits: ['lasting0.0.0.3']});
		fleet.runUntil(submittedAt + 20_000);
		const sound = listTasks(fleet).filter(task => task !== 'lasting0.0.0.3');
		assert.deepEqual(sound.filter(task => !fleet.checker.isRunning(task)), []);
		assert.ok((fleet.checker.crashCounts.get('lasting0.0.0.3') ?? 0) <= 6, `${fleet.checker.crashCounts.get('lasting0.0.0.3')} crashes`);
	});

	const faultyJobs = {
		'one step': {steps: [{count: 8, mayMiss: 8}], fromMs: 4000},
		// Each of them is tried once beside the others.
		'eight steps': {steps: Array.from({length: 8}, () => ({count: 1})), fromMs: 12_000},
	};
	for (const [name, {steps, fromMs}] of Object.entries(faultyJobs)) {
		it(`guards against a job at fault that takes down several workers at once: ${name}`, () => {
			const culprits = steps.flatMap(({count}, position) => Array.from({length: count}, (_, index) => `lasting0.0.${position}.${index}`));
			const fleet = createFleet(1, {jobs: [steps, [{count: 8}]], filled: 2, culprits});
			let lowest = workerCount;
			for (let at = submittedAt + fromMs; at < submittedAt + 30_000; at += 50) {
				fleet.runUntil(at);
				lowest = Math.min(lowest, [...fleet.workers.values()].filter(({isAlive}) => isAlive).length);
			}

			assert.ok(lowest >= workerCount - 2, `${workerCount - lowest} workers were down at once`);
		});
	}
});
