import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type SchedulerEffect} from '../state/effect.js';
import {type UpkeepState} from '../state/instance.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';
import {type PoolLoad} from '../state/scheduler.js';
import {planDrains} from './plan-drains.js';

const capacity = {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0};
const configuration = configurationSchema.parse({
	version: 1, queues: [], pools: [{name: 'north'}, {name: 'south'}, {name: 'reserve', spare: true}], organisations: [], maximumBodyBytes: 1,
});

/** Creates an owner with an idle worker in the pool `north`, while `south` lacks an instance. */
function createOwner() {
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	reduceScheduler(scheduler, {
		type: 'worker-listed', worker: {
			id: 'w1', address: '10.0.0.1:80', service: 'north', availabilityZone: 'east', rack: 'r1', labels: [], capacity, leaving: false, instance: 'm1', startedAtMs: 1,
		},
	}, {now: 0, timeOfDay: 0});
	const worker = scheduler.workers.get('w1');
	assert.ok(worker);
	worker.acknowledgedOwner = true;
	const north: PoolLoad = {
		name: 'north', workers: [worker], capacity: capacity.cpuMillis, used: 0, usedByLateJobs: 0, backlog: 0, backlogOfLateJobs: 0, lateJobs: new Set(), demand: {measuredAt: 0, smoothed: 0, forecast: 0}, unmetLongRunningNeeds: 0,
	};
	const plan = (options: {now: number; shortage: number}) => {
		const effects: SchedulerEffect[] = [];
		return planDrains({
			scheduler, now: options.now, timeOfDay: options.now, effects,
		}, {pools: new Map([['north', north]]), shortages: new Map([['south', options.shortage]]), isMovable: () => true});
	};

	const setUpkeep = (state: UpkeepState): void => {
		const request = {
			number: 1, instances: ['m1'], durationMs: 10_000, maximumDown: 1,
		};
		scheduler.waves.set(1, {
			request, requestedAt: 0, completed: false, published: 'running', upkeeps: new Map([['m1', {
				instance: 'm1', incarnation: undefined, state, changedAt: 0, retryAt: 0, acceptedAt: 0, mayHaveBegun: false,
			}]]),
		});
	};

	return {
		scheduler, worker, north, plan, setUpkeep,
	};
}

describe('drains for another pool', () => {
	it('drains a worker that only late jobs need, and moves its instance once it is empty', () => {
		const {worker, plan} = createOwner();
		assert.deepEqual(plan({now: 0, shortage: 8000}), []);
		assert.equal(worker.cordoned, true);
		assert.deepEqual(plan({now: 150, shortage: 8000}), [{instance: 'm1', pool: 'south'}]);
	});

	it('keeps a worker that the timely jobs of its pool need', () => {
		const {worker, north, plan} = createOwner();
		north.used = 4000;
		plan({now: 0, shortage: 8000});
		assert.equal(worker.cordoned, false);
	});

	it('returns a worker to its pool when the shortage is over', () => {
		const {scheduler, worker, plan} = createOwner();
		plan({now: 0, shortage: 8000});
		plan({now: 150, shortage: 0});
		assert.equal(worker.cordoned, false);
		assert.equal(scheduler.drains.size, 0);
	});

	it('guards against giving tasks to a worker whose instance is about to go down for upkeep', () => {
		const {scheduler, worker, plan, setUpkeep} = createOwner();
		plan({now: 0, shortage: 8000});
		setUpkeep('requested');
		assert.deepEqual(plan({now: 150, shortage: 0}), []);
		assert.equal(worker.cordoned, true);
		assert.equal(scheduler.drains.size, 0);
	});

	it('guards against a worker that gets no tasks any more because its entry expired while it was drained', () => {
		const {
			scheduler, worker, north, plan,
		} = createOwner();
		const {listing} = worker;
		assert.ok(listing);
		plan({now: 0, shortage: 8000});
		assert.equal(worker.cordoned, true);
		reduceScheduler(scheduler, {type: 'worker-unlisted', id: 'w1'}, {now: 100, timeOfDay: 100});
		worker.startedAtMs = listing.startedAtMs;
		worker.clockReadAt = -60_000;
		north.workers.pop();
		plan({now: 150, shortage: 8000});
		reduceScheduler(scheduler, {type: 'worker-listed', worker: listing}, {now: 200, timeOfDay: 200});
		assert.equal(worker.cordoned, false);
	});
});
