import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createWorker} from '../state/create-worker.js';
import {createTask} from '../state/create-task.js';
import {type Task, type TaskGroup, type Worker} from '../state/scheduler.js';
import {estimateRemainingTime} from './estimate-remaining-time.js';

/** Creates a run that was ordered at 1000 ms, on a worker that last answered at 2000 ms. */
function createRun(changes: Partial<Task>, workerChanges: Partial<Worker> = {}): Task {
	const worker: Worker = {
		...createWorker({id: 'w1', address: '10.0.0.1:80', now: 0}), lastResponseAt: 2000, reportAnsweredAt: 2000, ...workerChanges,
	};
	return {
		...createTask({} as unknown as TaskGroup, {id: 'a.0.0.0', index: 0}), state: 'running', worker, lastOrderAt: 1000, percent: 25, ...changes,
	};
}

describe('estimateRemainingTime', () => {
	it('extrapolates the speed up to the last report', () => {
		assert.equal(estimateRemainingTime(createRun({}), {freshMs: 500, now: 2100}), 2900);
	});

	it('guards against missing a run that stands still', () => {
		const now = 4000;
		const remaining = estimateRemainingTime(createRun({percent: 0}, {lastResponseAt: now, reportAnsweredAt: now}), {freshMs: 500, now});
		assert.ok(remaining !== undefined && remaining > 100_000);
	});

	it('guards against trusting the progress of a run whose worker is silent', () => {
		const worker = {
			unresponsive: true, clockMs: 0, clockReadAt: 2000, leaseUntilMs: 2940,
		};
		assert.equal(estimateRemainingTime(createRun({percent: 99}, worker), {freshMs: 500, now: 3000}), 2600);
	});

	it('guards against judging a run that no report shows yet', () => {
		assert.equal(estimateRemainingTime(createRun({percent: 0}, {reportAnsweredAt: 900}), {freshMs: 500, now: 2100}), undefined);
	});

	it('guards against judging a run whose start is not known after a takeover', () => {
		assert.equal(estimateRemainingTime(createRun({lastOrderAt: 0}), {freshMs: 500, now: 2100}), undefined);
	});
});
