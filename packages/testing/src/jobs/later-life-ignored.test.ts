import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {listSchedulableWorkers} from '@rosemaryquay/core/jobs/placement/list-schedulable-workers';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createWorkers} from './create-fleet.js';

const newAddress = '10.0.0.99:80';

/** Creates an owner and a worker that joins on request. */
function createOwner() {
	const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
	const [listing] = createWorkers(1);
	assert.ok(listing !== undefined);
	const state = {now: 0};
	const dispatch = (event: SchedulerEvent): void => {
		reduceScheduler(scheduler, event, {now: state.now, timeOfDay: state.now});
	};

	/** The worker is listed, answers, and the list of holders is stored; returns whether it gets tasks afterwards. */
	const join = (startedAtMs: number, address = listing.address): boolean => {
		dispatch({type: 'worker-listed', worker: {...listing, startedAtMs, address}});
		dispatch({
			type: 'worker-reported', worker: listing.id, requestedAt: state.now, report: {
				startedAtMs, clockMs: state.now, running: [], ended: [],
			},
		});
		for (let tick = 0; tick < 20; tick++) {
			state.now += 40;
			dispatch({type: 'ticked'});
			if (scheduler.commit !== undefined) {
				dispatch({type: 'committed', number: scheduler.commit.number});
			}
		}

		return (listSchedulableWorkers(scheduler, state.now).get('planner') ?? []).some(({id}) => id === listing.id);
	};

	return {
		state, dispatch, listing, join,
	};
}

describe('a worker that has started again under its id', () => {
	it('guards against ending its later life by an answer from the address of the earlier one', () => {
		const {state, dispatch, listing, join} = createOwner();
		assert.ok(join(1));
		state.now = 2000;
		dispatch({type: 'worker-listed', worker: {...listing, startedAtMs: 1900, address: newAddress}});
		dispatch({type: 'report-failed', worker: listing.id, outcome: 'other-worker'});
		assert.ok(join(1900, newAddress));
	});

	for (const {requestedAt, isEnded} of [{requestedAt: 2000, isEnded: false}, {requestedAt: 2450, isEnded: true}]) {
		it(isEnded ? 'ends its later life by a list of instances that is newer' : 'guards against ending its later life by a list of instances that is older', () => {
			const {state, dispatch, listing, join} = createOwner();
			assert.ok(join(1));
			state.now = 2400;
			dispatch({type: 'worker-listed', worker: {...listing, startedAtMs: 2300}});
			state.now = 2500;
			dispatch({
				type: 'instances-listed', requestedAt, instances: [{
					id: 'm1', pool: 'planner', state: 'upkeep', availabilityZone: 'east', capacity: listing.capacity, worker: '',
				}],
			});
			assert.equal(join(2300), !isEnded);
		});
	}
});
