import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {measureOutlook} from '../order/measure-outlook.js';
import {assignTask} from '../runs/assign-task.js';
import {addJob} from '../state/add-job.js';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {createWorker} from '../state/create-worker.js';
import {type Job, jobSchema} from '../state/job-schema.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type ActiveJob, type TaskGroup, type Worker} from '../state/scheduler.js';
import {chooseWorkers} from './choose-workers.js';
import {type DataWait} from './data-wait.js';
import {listWantedRacks} from './list-wanted-racks.js';
import {type RackForecasts} from './rack-forecast.js';
import {waitsForData} from './waits-for-data.js';

const now = 100_000;
const configuration = configurationSchema.parse({
	version: 1, queues: [], pools: [{name: 'planner'}], organisations: [], maximumBodyBytes: 1000,
});

function parseJob(id: string, step: Partial<Job['steps'][number]>, estimatedMs = 1000): Job {
	return jobSchema.parse({
		id, queue: 'q', service: 'planner', organisation: 'north', acceptedAtMs: now, stretch: 1.6, targetLatencyMs: 600, steps: [{
			count: 1, cpuMillis: 2000, estimatedMs, ...step,
		}],
	});
}

/** A worker of two tasks on each of the racks r0, r1 and r2. */
function createFleet(farRatio = 3) {
	const scheduler = createScheduler({
		term: 1, now: 0, configuration, farRatio,
	});
	const context: ReducerContext = {
		scheduler, now, timeOfDay: now, effects: [],
	};
	const workers = ['r0', 'r1', 'r2'].map(rack => {
		const worker = createWorker({id: rack, address: `${rack}:80`, now});
		worker.listing = {
			id: rack, address: worker.address, service: 'planner', availabilityZone: 'east', rack, labels: [], capacity: {cpuMillis: 4000, memoryMb: 1000, accelerators: 0}, leaving: false, instance: rack, startedAtMs: 0,
		};
		worker.lastSeenAt = now;
		scheduler.workers.set(rack, worker);
		return worker;
	});
	return {context, workers};
}

function createForecasts(): RackForecasts {
	return {byRack: new Map(), lastWait: undefined};
}

type Fleet = ReturnType<typeof createFleet>;

function accept({context}: Fleet, job: Job): ActiveJob {
	addJob(context, job);
	const active = context.scheduler.jobs.get(job.id);
	assert.ok(active);
	return active;
}

function listGroups(job: ActiveJob): TaskGroup[] {
	return job.occurrences.get(0)?.[0]?.groups ?? [];
}

/** Starts tasks on a worker that are half done and will end after the given times, in milliseconds. */
function occupy(fleet: Fleet, worker: Worker, remainingMs: readonly number[]): void {
	const job = accept(fleet, parseJob(`on ${worker.id}`, {count: remainingMs.length}));
	worker.reportAnsweredAt = now;
	for (const [position, {tasks}] of listGroups(job).entries()) {
		const [task] = tasks;
		assert.ok(task);
		assignTask(fleet.context.scheduler, task, {worker, run: 1, state: 'running'});
		task.lastOrderAt = now - (remainingMs[position] ?? 0);
		task.percent = 50;
	}
}

/** Decides for the first group of a job, which must have room elsewhere. */
function decide(fleet: Fleet, job: ActiveJob, options: {group?: TaskGroup; at?: number; forecasts?: RackForecasts} = {}): boolean {
	const {group = listGroups(job)[0], at = now, forecasts = createForecasts()} = options;
	const step = job.occurrences.get(0)?.[0];
	assert.ok(group && step);
	const {context, workers} = fleet;
	measureOutlook(context.scheduler, job, at);
	const chosen = chooseWorkers(group, step, {candidates: workers, now: at, estimates: context.scheduler.estimates});
	assert.ok(chosen, 'capacity elsewhere');
	return waitsForData({...context, now: at}, group, {
		step, workers, chosen, forecasts,
	});
}

describe('waitsForData', () => {
	const near = {affinity: 'r0'};
	const cases: Array<{name: string; expected: boolean; step?: Partial<Job['steps'][number]>; estimatedMs?: number; remaining?: number[]; farRatio?: number; dataWait?: Partial<DataWait>; isLate?: boolean}> = [
		{name: 'waits while the expected wait is shorter than the additional run time', expected: true},
		{name: 'guards against a wait for tasks that are short enough to run far from their data', expected: false, estimatedMs: 100},
		{name: 'guards against a wait behind long tasks', expected: false, remaining: [5000, 5000]},
		{name: 'guards against a wait where distance does not matter', expected: false, farRatio: 1},
		{name: 'guards against a wait of tasks that need no rack', expected: false, step: {affinity: ''}},
		{name: 'guards against a wait of long-running tasks', expected: false, step: {...near, longRunning: true}},
		{name: 'guards against a wait for a rack without workers', expected: false, step: {affinity: 'r9'}},
		{name: 'guards against a wait of more than 1 s while nothing of the job runs', expected: false, dataWait: {waitedMs: 1000}},
		{name: 'guards against several waits that add up to more than 1 s', expected: false, dataWait: {startedAt: now - 400, waitedMs: 600}},
		{name: 'guards against a wait beyond the objective', expected: false, isLate: true},
	];

	for (const {name, expected, step = near, estimatedMs = 1000, remaining = [400, 5000], farRatio = 3, dataWait, isLate = false} of cases) {
		it(name, () => {
			const fleet = createFleet(farRatio);
			const [r0] = fleet.workers;
			assert.ok(r0);
			occupy(fleet, r0, remaining);
			const job = accept(fleet, {...parseJob('a', step, estimatedMs), acceptedAtMs: isLate ? now - 1100 : now});
			job.dataWait = dataWait === undefined
				? undefined
				: {
					startedAt: undefined, waitedMs: 0, loggedMs: 0, ...dataWait,
				};
			assert.equal(decide(fleet, job), expected);
		});
	}

	it('allows a total of 1.5 s while other tasks of the job run', () => {
		for (const {waitedMs, expected} of [{waitedMs: 1000, expected: true}, {waitedMs: 1200, expected: false}]) {
			const fleet = createFleet();
			const [r0, r1] = fleet.workers;
			assert.ok(r0 && r1);
			occupy(fleet, r0, [400, 5000]);
			const job = accept(fleet, parseJob('a', {...near, count: 2}));
			const [first, second] = listGroups(job);
			assert.ok(first?.tasks[0] && second);
			assignTask(fleet.context.scheduler, first.tasks[0], {worker: r1, run: 1, state: 'running'});
			job.dataWait = {startedAt: undefined, waitedMs, loggedMs: 0};
			assert.equal(decide(fleet, job, {group: second}), expected, `${waitedMs} ms`);
		}
	});

	it('guards against a queue for one rack: the expected wait counts the tasks that wait already', () => {
		const fleet = createFleet();
		const [r0] = fleet.workers;
		assert.ok(r0);
		occupy(fleet, r0, [400, 5000]);
		const forecasts = createForecasts();
		const decisions = ['a', 'b', 'c'].map(id => decide(fleet, accept(fleet, parseJob(id, near)), {forecasts}));
		// The second one would wait for 1400 ms, of which 1000 ms are allowed.
		assert.deepEqual(decisions, [true, false, false]);
	});

	it('guards against a gang on several racks that could soon run on one', () => {
		const fleet = createFleet();
		for (const worker of fleet.workers) {
			occupy(fleet, worker, worker.id === 'r1' ? [300] : [5000]);
		}

		const gang = {count: 2, gang: true, sameRack: true};
		assert.equal(decide(fleet, accept(fleet, parseJob('a', gang))), true);
		assert.equal(decide(fleet, accept(fleet, parseJob('b', gang, 100))), false);
	});

	it('lists the racks that tasks wait for by their work', () => {
		const fleet = createFleet();
		accept(fleet, parseJob('a', {affinity: 'r1'}));
		accept(fleet, parseJob('b', {affinity: 'r2', count: 3}));
		accept(fleet, parseJob('c', {}));
		assert.deepEqual(listWantedRacks(fleet.context.scheduler, 'planner'), [{rack: 'r2', work: 6_000_000}, {rack: 'r1', work: 2_000_000}]);
		assert.deepEqual(listWantedRacks(fleet.context.scheduler, 'alerts'), []);
	});
});
