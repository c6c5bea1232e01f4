import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/state/effect';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {type InstanceState} from '@rosemaryquay/core/jobs/state/instance';
import {listSchedulableWorkers} from '@rosemaryquay/core/jobs/placement/list-schedulable-workers';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createWorkers} from './create-fleet.js';

const waveNumber = 1;
const tickMs = 40;

/** Time in which an owner stores the list of holders, or requests a list of instances that is due. */
const settlingMs = 200;

/** Creates a new owner, later than the settling time of a takeover, that knows one worker and has had the upkeep of its instance accepted. */
function createOwner() {
	const scheduler = createScheduler({term: 2, now: 0, configuration: createConfiguration()});
	const [listing] = createWorkers(1);
	assert.ok(listing !== undefined);
	const {id} = listing;
	const effects: SchedulerEffect[] = [];
	let now = 0;
	const dispatch = (event: SchedulerEvent): void => {
		effects.push(...reduceScheduler(scheduler, event, {now, timeOfDay: now}));
	};

	const advance = (durationMs: number): void => {
		for (const endAt = now + durationMs; now < endAt;) {
			now += tickMs;
			dispatch({type: 'ticked'});
			if (scheduler.commit !== undefined) {
				dispatch({type: 'committed', number: scheduler.commit.number});
			}
		}
	};

	const listInstance = (state: InstanceState, worker: string): void => {
		dispatch({
			type: 'instances-listed', requestedAt: now, instances: [{
				id: 'm1', pool: 'planner', state, availabilityZone: 'east', capacity: listing.capacity, worker,
			}],
		});
	};

	dispatch({type: 'worker-listed', worker: listing});
	dispatch({
		type: 'worker-reported', worker: id, requestedAt: 0, report: {
			startedAtMs: listing.startedAtMs, clockMs: 0, running: [], ended: [],
		},
	});
	dispatch({
		type: 'waves-requested', waves: [{
			number: waveNumber, instances: ['m1'], durationMs: 20_000, maximumDown: 1,
		}],
	});
	advance(1000);
	listInstance('up', id);
	advance(settlingMs);
	assert.ok(effects.some(({type}) => type === 'upkeep'));
	dispatch({
		type: 'upkeep-answered', wave: waveNumber, instance: 'm1', outcome: 'accepted',
	});
	effects.length = 0;
	advance(settlingMs);
	assert.ok(effects.some(({type}) => type === 'list-instances'));
	return {
		advance,
		listInstance,
		id,
		worker: scheduler.workers.get(id),
		getUpkeepState: () => scheduler.waves.get(waveNumber)?.upkeeps.get('m1')?.state,
		isSchedulable: () => (listSchedulableWorkers(scheduler, now).get('planner') ?? []).some(worker => worker.id === id),
		relist() {
			dispatch({type: 'worker-listed', worker: listing});
		},
	};
}

describe('an upkeep that a new owner orders', () => {
	it('guards against a worker that never gets tasks again, because the upkeep was over and ended nothing', () => {
		const {advance, listInstance, id, getUpkeepState, isSchedulable, relist} = createOwner();
		listInstance('up', id);
		assert.equal(getUpkeepState(), 'done');
		advance(settlingMs);
		relist();
		assert.ok(isSchedulable());
	});

	it('gives the worker no tasks until a list shows whether it has ended', () => {
		const {isSchedulable} = createOwner();
		assert.ok(!isSchedulable());
	});

	for (const [state, replacement] of [['upkeep', ''], ['up', 'w2']] as const) {
		it(`ends the worker once a list shows its instance in state ${state} with ${replacement === '' ? 'no' : 'another'} worker`, () => {
			const {advance, listInstance, worker, isSchedulable, relist} = createOwner();
			listInstance(state, replacement);
			assert.equal(worker?.listing, undefined);
			advance(settlingMs);
			relist();
			assert.ok(!isSchedulable());
		});
	}
});
