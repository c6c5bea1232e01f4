import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect, type StoreWrite} from '@rosemaryquay/core/jobs/state/effect';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';

const present = '10.0.0.9:80';

/** Creates an owner with one worker whose entry names another address once the list of holders is being stored, or is stored. */
function createOwner(moment: 'being stored' | 'stored') {
	const [listing] = createWorkers(1);
	assert.ok(listing);
	const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
	const effects: SchedulerEffect[] = [];
	let now = 0;
	const dispatch = (event: SchedulerEvent): void => {
		now += 50;
		effects.push(...reduceScheduler(scheduler, event, {now, timeOfDay: now}));
	};

	const report = (): void => {
		dispatch({
			type: 'worker-reported', worker: listing.id, requestedAt: now, report: {
				startedAtMs: 1, clockMs: now, running: [], ended: [],
			},
		});
	};

	dispatch({type: 'worker-listed', worker: listing});
	report();
	dispatch({type: 'ticked'});
	const moved: SchedulerEvent = {type: 'worker-listed', worker: {...listing, address: present}};
	if (moment === 'being stored') {
		dispatch(moved);
		dispatch({type: 'committed', number: 1});
	} else {
		dispatch({type: 'committed', number: 1});
		dispatch(moved);
	}

	dispatch({type: 'job-accepted', job: createJob('a')});
	return {dispatch, report, effects};
}

const listHolders = (effects: readonly SchedulerEffect[]): Array<Extract<StoreWrite, {type: 'holders'}>['holders']> => effects
	.filter(effect => effect.type === 'commit')
	.flatMap(({writes}) => writes.filter(write => write.type === 'holders'))
	.map(({holders}) => holders);

describe('address of a recorded holder', () => {
	for (const moment of ['being stored', 'stored'] as const) {
		it(`guards against a next owner that looks for a worker at a former address: entry changed when the list is ${moment}`, () => {
			const {dispatch, effects} = createOwner(moment);
			dispatch({type: 'ticked'});
			assert.deepEqual(listHolders(effects).at(-1)?.map(({address}) => address), [present]);
			assert.ok(!effects.some(({type}) => type === 'start'));
			dispatch({type: 'committed', number: 2});
			dispatch({type: 'ticked'});
			assert.ok(effects.some(effect => effect.type === 'start' && effect.address === present));
		});
	}
});
