import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect, type StoreWrite} from '@rosemaryquay/core/jobs/state/effect';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createWorkers} from './create-fleet.js';

describe('the stored list of lease holders', () => {
	it('guards against a list without a worker that restarts under its id while the list is written', () => {
		const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
		const [first, second] = createWorkers(2);
		assert.ok(first !== undefined && second !== undefined);
		const writes: StoreWrite[] = [];
		let now = 0;
		const dispatch = (event: SchedulerEvent): void => {
			const effects: SchedulerEffect[] = reduceScheduler(scheduler, event, {now, timeOfDay: now});
			writes.push(...effects.flatMap(effect => effect.type === 'commit' ? effect.writes : []));
		};

		const report = (worker: string, startedAtMs: number): void => {
			dispatch({
				type: 'worker-reported', worker, requestedAt: now, report: {
					startedAtMs, clockMs: now, running: [], ended: [],
				},
			});
		};

		const store = (): void => {
			now += 100;
			dispatch({type: 'ticked'});
			dispatch({type: 'committed', number: scheduler.commitNumber});
		};

		dispatch({type: 'worker-listed', worker: first});
		report(first.id, 1);
		store();
		dispatch({type: 'worker-listed', worker: {...first, startedAtMs: 50}});
		dispatch({type: 'worker-listed', worker: second});
		report(second.id, 1);
		store();
		report(first.id, 50);
		store();
		assert.equal(scheduler.workers.get(first.id)?.recordedAsHolder, true);
		const stored = writes.findLast(write => write.type === 'holders');
		assert.deepEqual(stored?.holders.map(({id}) => id).toSorted(), [first.id, second.id]);
	});
});
