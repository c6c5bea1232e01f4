import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createActiveJob} from '../state/create-active-job.js';
import {createWorker} from '../state/create-worker.js';
import {jobSchema} from '../state/job-schema.js';
import {
	type StepState, type Task, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {createEstimates} from '../estimates/create-estimates.js';
import {chooseWorkers} from './choose-workers.js';

const capacity = {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0};

function createWorkers(count: number, perRack: number): Worker[] {
	return Array.from({length: count}, (_, position) => {
		const id = `w${position}`;
		const worker = createWorker({id, address: `${id}:80`, now: 0});
		worker.listing = {
			id, address: worker.address, service: 'planner', availabilityZone: 'east', rack: `r${Math.floor(position / perRack)}`, labels: [], capacity, leaving: false, instance: id, startedAtMs: 0,
		};
		return worker;
	});
}

/** Places 24 long-running tasks one after another and returns the number of them on each worker. */
function placeLongRunning(workers: readonly Worker[], mayMiss: number): Map<Worker, number> {
	const job = createActiveJob(jobSchema.parse({
		id: 'a', queue: 'q', service: 'planner', organisation: 'north', acceptedAtMs: 0, maximumAttempts: 1, stretch: 1, targetLatencyMs: 0, steps: [{
			count: 24, cpuMillis: 1000, longRunning: true, mayMiss,
		}],
	}), {acceptedAt: 0, recovered: false});
	const groups = Array.from({length: 24}, (_, index) => {
		const definition = job.definition.steps[0];
		assert.ok(definition);
		return {
			job, occurrence: 0, step: 0, definition, failedWorkers: new Map<string, number>(), crashedRuns: new Set<number>(), tasks: [{worker: undefined as Worker | undefined, index}],
		};
	});
	const step = {
		occurrence: 0, step: 0, groups, remaining: 24, tickets: undefined,
	} as unknown as StepState;
	const counts = new Map<Worker, number>();
	for (const group of step.groups) {
		const [worker] = chooseWorkers(group, step, {candidates: workers, now: 0, estimates: createEstimates()}) ?? [];
		const [task] = group.tasks;
		assert.ok(worker && task);
		task.worker = worker;
		worker.used = {...worker.used, cpuMillis: worker.used.cpuMillis + 1000};
		counts.set(worker, (counts.get(worker) ?? 0) + 1);
	}

	return counts;
}

function countByRack(counts: ReadonlyMap<Worker, number>): number[] {
	const racks = new Map<string, number>();
	for (const [{listing}, count] of counts) {
		racks.set(listing?.rack ?? '', (racks.get(listing?.rack ?? '') ?? 0) + count);
	}

	return [...racks.values()];
}

describe('placement of long-running tasks', () => {
	it('guards against occupying every instance: uses as few as the loss of a rack allows', () => {
		const counts = placeLongRunning(createWorkers(48, 12), 7);
		assert.equal(counts.size, 3);
		assert.deepEqual(countByRack(counts), [8, 8, 8]);
	});

	it('guards against losing more than necessary with a rack or a worker, where there are few racks', () => {
		const counts = placeLongRunning(createWorkers(24, 12), 2);
		assert.deepEqual(countByRack(counts), [12, 12]);
		assert.ok(Math.max(...counts.values()) <= 3, `${[...counts.values()].join(', ')}`);
	});

	it('spreads tasks of which none may be missed', () => {
		assert.equal(placeLongRunning(createWorkers(24, 12), 0).size, 24);
	});
});

/** Workers of 16 cores, two to a rack, with the given free cores. */
function createRacks(freeCores: readonly number[]): Worker[] {
	const workers = createWorkers(freeCores.length, 2);
	for (const [position, worker] of workers.entries()) {
		worker.used = {...worker.used, cpuMillis: capacity.cpuMillis - (1000 * (freeCores[position] ?? 0))};
	}

	return workers;
}

/** Racks that are chosen for a step of four tasks of four cores. */
function chooseRacks(workers: readonly Worker[], changes: {gang: boolean; sameRack?: boolean; affinity?: string}): string[] {
	const job = createActiveJob(jobSchema.parse({
		id: 'a', queue: 'q', service: 'planner', organisation: 'north', acceptedAtMs: 0, steps: [{
			count: 4, cpuMillis: 4000, sameRack: true, ...changes,
		}],
	}), {acceptedAt: 0, recovered: false});
	const definition = job.definition.steps[0];
	assert.ok(definition);
	const tasks = Array.from({length: 4}, (_, index) => ({worker: undefined as Worker | undefined, index}));
	const groups = (changes.gang ? [tasks] : tasks.map(task => [task])).map(members => ({
		job, occurrence: 0, step: 0, definition, failedWorkers: new Map<string, number>(), crashedRuns: new Set<number>(), tasks: members,
	}));
	const step = {
		occurrence: 0, step: 0, groups, remaining: groups.length, tickets: undefined,
	} as unknown as StepState;
	const racks = new Set<string>();
	for (const group of step.groups) {
		const chosen = chooseWorkers(group, step, {candidates: workers, now: 0, estimates: createEstimates()}) ?? [];
		for (const [position, worker] of chosen.entries()) {
			const task = group.tasks[position];
			assert.ok(task);
			task.worker = worker;
			worker.used = {...worker.used, cpuMillis: worker.used.cpuMillis + definition.cpuMillis};
			racks.add(worker.listing?.rack ?? '');
		}
	}

	return [...racks];
}

describe('racks of steps with sameRack', () => {
	for (const gang of [true, false]) {
		const name = gang ? 'a gang' : 'single tasks';
		it(`guards against fragmentation by ${name}: takes the rack with the least capacity that fits`, () => {
			assert.deepEqual(chooseRacks(createRacks([16, 16, 8, 8, 4, 8]), {gang}), ['r1']);
		});

		it(`guards against ${name} on several racks while one fits, where the fullest worker is on another rack`, () => {
			assert.deepEqual(chooseRacks(createRacks([4, 8, 16, 16]), {gang}), ['r1']);
		});

		it(`prefers the rack of the data for ${name}`, () => {
			assert.deepEqual(chooseRacks(createRacks([8, 8, 16, 16]), {gang, affinity: 'r1'}), ['r1']);
		});

		it(`guards against a wait of ${name} that fit on no rack`, () => {
			assert.equal(chooseRacks(createRacks([8, 4, 8, 4]), {gang}).length, 2);
		});
	}
});

type Obstacle = {readonly step: Readonly<Partial<Record<'antiAffinity' | 'gang' | 'requirement', number | boolean | string>>>; readonly used: number};

/** What keeps a task from the workers on which it has not failed. */
const obstacles: Readonly<Record<string, Obstacle>> = {
	'have no room': {step: {}, used: 15_500},
	'have no room and the right label': {step: {requirement: 'b'}, used: 15_500},
	'have reached its anti-affinity': {step: {antiAffinity: 1}, used: 1000},
	'have room for a part of its gang': {step: {gang: true}, used: 13_000},
};

/** Offers a task that has failed on the first of several workers, which all others cannot run, those that are left. */
function placeAfterFailure({step: changes, used}: Obstacle, options: {others: number; avoidedUntil: number; now: number}): Worker[] | undefined {
	const [failed, ...others] = createWorkers(options.others + 1, 12);
	assert.ok(failed);
	const definition = jobSchema.parse({
		id: 'a', queue: 'q', service: 'planner', organisation: 'north', acceptedAtMs: 0, maximumAttempts: 3, stretch: 1, targetLatencyMs: 0,
		steps: [{count: 2, cpuMillis: 2000, ...changes}],
	}).steps[0];
	assert.ok(definition);
	const job = {};
	const tasks = Array.from({length: definition.gang ? options.others + 1 : 1}, (_, index) => ({index}));
	const group = {
		job, occurrence: 0, step: 0, definition, failedWorkers: new Map([[failed.id, options.avoidedUntil]]), crashedRuns: new Set<number>(), tasks,
	} as unknown as TaskGroup;
	for (const worker of [failed, ...others]) {
		assert.ok(worker.listing);
		worker.listing = {...worker.listing, labels: ['b']};
		worker.lastSeenAt = options.now;
	}

	for (const worker of others) {
		worker.used = {...worker.used, cpuMillis: used};
		if (definition.antiAffinity > 0) {
			worker.tasks.add({group} as unknown as Task);
		}
	}

	const step = {
		occurrence: 0, step: 0, groups: [group], remaining: 1, tickets: undefined,
	} as unknown as StepState;
	return chooseWorkers(group, step, {candidates: [failed, ...others], now: options.now, estimates: createEstimates()});
}

describe('tasks that have failed on a worker', () => {
	for (const [obstacle, setup] of Object.entries(obstacles)) {
		for (const others of [1, 2, 12, 31]) {
			it(`guards against a task that is never started again because ${others} other workers ${obstacle}`, () => {
				const times = {others, avoidedUntil: 2500};
				assert.equal(placeAfterFailure(setup, {...times, now: 2400}), undefined);
				assert.ok(placeAfterFailure(setup, {...times, now: 2500})?.some(({id}) => id === 'w0'));
			});
		}
	}

	it('guards against using a worker on which the task has failed while another has room', () => {
		const chosen = placeAfterFailure({step: {}, used: 1000}, {others: 1, avoidedUntil: 2500, now: 60_000});
		assert.deepEqual(chosen?.map(({id}) => id), ['w1']);
	});
});
