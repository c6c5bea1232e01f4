import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createActiveJob} from '../state/create-active-job.js';
import {createWorker} from '../state/create-worker.js';
import {jobSchema} from '../state/job-schema.js';
import {type StepState, type Worker} from '../state/scheduler.js';
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
			job, occurrence: 0, step: 0, definition, failedWorkers: new Set<string>(), tasks: [{worker: undefined as Worker | undefined, index}],
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
