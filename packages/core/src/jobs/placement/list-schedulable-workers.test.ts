import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type SchedulerEvent} from '../state/event.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';
import {createTestOwner} from '../create-test-owner.js';
import {avoidWorker} from '../runs/avoid-worker.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {listSchedulableWorkers} from './list-schedulable-workers.js';

const configuration = configurationSchema.parse({
	version: 1, queues: [], pools: [{name: 'planner'}], organisations: [], maximumBodyBytes: 1000,
});

const createListing = (startedAtMs: number, cpuMillis: number): SchedulerEvent => ({
	type: 'worker-listed',
	worker: {
		id: 'w1', address: '10.0.0.1:80', service: 'planner', availabilityZone: 'east', rack: 'r1', labels: [],
		capacity: {cpuMillis, memoryMb: 1000, accelerators: 0}, leaving: false, instance: 'm1', startedAtMs,
	},
});

const createReport = (startedAtMs: number): SchedulerEvent => ({
	type: 'worker-reported', worker: 'w1', requestedAt: 0, report: {
		startedAtMs, clockMs: 0, running: [], ended: [],
	},
});

describe('listSchedulableWorkers', () => {
	it('guards against placing tasks by the capacity of an earlier incarnation whose entry is still in the store', () => {
		const scheduler = createScheduler({term: 1, now: 0, configuration});
		const dispatch = (event: SchedulerEvent) => reduceScheduler(scheduler, event, {now: 0, timeOfDay: 0});
		dispatch(createListing(1, 8000));
		dispatch(createReport(1));
		for (const {number} of dispatch({type: 'ticked'}).filter(effect => effect.type === 'commit')) {
			dispatch({type: 'committed', number});
		}

		assert.equal(listSchedulableWorkers(scheduler, 0).get('planner')?.length, 1);
		dispatch(createReport(2));
		assert.equal(listSchedulableWorkers(scheduler, 0).get('planner'), undefined);
		dispatch(createListing(2, 2000));
		assert.equal(listSchedulableWorkers(scheduler, 0).get('planner')?.[0]?.listing?.capacity.cpuMillis, 2000);
	});
});

describe('a worker that gets one task at a time after failures', () => {
	for (const lasting of [1, 3]) {
		it(`guards against its exclusion for ever by ${lasting} long-running tasks that are up`, () => {
			const scheduler = createScheduler({term: 1, now: 0, configuration});
			const dispatch = (event: SchedulerEvent) => reduceScheduler(scheduler, event, {now: 0, timeOfDay: 0});
			dispatch(createListing(1, 8000));
			dispatch(createReport(1));
			for (const {number} of dispatch({type: 'ticked'}).filter(effect => effect.type === 'commit')) {
				dispatch({type: 'committed', number});
			}

			const worker = scheduler.workers.get('w1');
			assert.ok(worker);
			worker.consecutiveFailures = 2;
			const createTask = (longRunning: boolean, percent: number) => ({state: 'running', percent, group: {definition: {longRunning}}}) as unknown as Task;
			const isSchedulable = () => listSchedulableWorkers(scheduler, 0).has('planner');
			const starting = createTask(true, 99);
			worker.tasks.add(starting);
			assert.equal(isSchedulable(), false);
			worker.tasks.delete(starting);
			for (let count = 0; count < lasting; count++) {
				worker.tasks.add(createTask(true, 100));
			}

			assert.equal(isSchedulable(), true);
			worker.tasks.add(createTask(false, 100));
			assert.equal(isSchedulable(), false);
		});
	}
});

describe('a worker that fails while its service has no other', () => {
	for (const {name, workers, isTried} of [
		{name: 'one worker', workers: 1, isTried: true},
		{name: 'three workers that all fail', workers: 3, isTried: true},
		{name: 'another worker that does not fail', workers: 2, isTried: false},
	]) {
		it(`guards against a service that starts nothing during a long back-off: ${name}`, () => {
			const owner = createTestOwner({workers: Array.from({length: workers}, () => ({}))});
			const failing = [...owner.scheduler.workers.values()].filter(({id}) => isTried || id === 'w1');
			for (const worker of failing) {
				avoidWorker(worker, 8000, owner.state.now);
			}

			const list = (): boolean => listSchedulableWorkers(owner.scheduler, owner.state.now).get('planner')?.includes(failing[0]!) ?? false;
			owner.advance(1900);
			assert.equal(list(), false);
			owner.advance(200);
			assert.equal(list(), isTried);
		});
	}
});
