import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/state/effect';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';

const task = 'a.0.0.0';

describe('the first report of a new incarnation', () => {
	it('guards against releasing a task that this incarnation accepted after the report was written', () => {
		const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
		const [listing] = createWorkers(1);
		assert.ok(listing !== undefined);
		const effects: SchedulerEffect[] = [];
		let now = 0;
		const dispatch = (event: SchedulerEvent): void => {
			effects.push(...reduceScheduler(scheduler, event, {now, timeOfDay: now}));
		};

		const report = (requestedAt: number, startedAtMs: number, clockMs: number): void => {
			dispatch({
				type: 'worker-reported', worker: listing.id, requestedAt, report: {
					startedAtMs, clockMs, running: [], ended: [],
				},
			});
		};

		dispatch({type: 'worker-listed', worker: listing});
		report(0, 1, 5000);
		now = 100;
		dispatch({type: 'ticked'});
		dispatch({type: 'committed', number: scheduler.commitNumber});
		addJob({
			scheduler, now, timeOfDay: now, effects,
		}, createJob('a', {steps: [{count: 1, cpuMillis: 1000, estimatedMs: 3000}]}));
		// One tick sends the start and requests a report; the worker has restarted 10 ms before.
		now = 140;
		dispatch({type: 'ticked'});
		const requestedAt = now;
		assert.equal(effects.filter(({type}) => type === 'start').length, 1);
		assert.equal(effects.findLast(({type}) => type === 'report')?.type, 'report');
		// The report was written at 11 ms, the start was accepted at 12 ms; its answer arrives first.
		now = 144;
		dispatch({
			type: 'start-answered', worker: listing.id, task, run: 1, answer: {outcome: 'accepted', clockMs: 12},
		});
		now = 146;
		report(requestedAt, 130, 11);
		assert.equal(scheduler.tasks.get(task)?.worker?.id, listing.id);
		now = 186;
		dispatch({type: 'ticked'});
		assert.deepEqual(effects.filter(effect => effect.type === 'start').map(({run}) => run), [1]);
	});
});
