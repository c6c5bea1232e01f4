import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/state/effect';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';

describe('the answer to a start order that a report and a stop order have overtaken', () => {
	it('guards against taking its older clock reading for that of a new incarnation', () => {
		const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
		const [listing] = createWorkers(1);
		assert.ok(listing !== undefined);
		const effects: SchedulerEffect[] = [];
		let now = 0;
		const dispatch = (event: SchedulerEvent): void => {
			effects.push(...reduceScheduler(scheduler, event, {now, timeOfDay: now}));
		};

		const report = (requestedAt: number): void => {
			dispatch({
				type: 'worker-reported', worker: listing.id, requestedAt, report: {
					startedAtMs: 1, clockMs: now, running: [], ended: [],
				},
			});
		};

		dispatch({type: 'worker-listed', worker: listing});
		report(0);
		now = 100;
		dispatch({type: 'ticked'});
		dispatch({type: 'committed', number: scheduler.commitNumber});
		addJob({
			scheduler, now, timeOfDay: now, effects,
		}, createJob('a', {steps: [{count: 1, cpuMillis: 1000, estimatedMs: 3000}]}));
		now = 140;
		dispatch({type: 'ticked'});
		assert.ok(effects.some(({type}) => type === 'start'));
		now = 150;
		report(140);
		now = 160;
		dispatch({type: 'job-cancelled', id: 'a'});
		assert.ok(effects.some(({type}) => type === 'stop'));
		// The worker accepted the start at 142 on its clock.
		now = 200;
		dispatch({
			type: 'start-answered', worker: listing.id, task: 'a.0.0.0', run: 1, answer: {outcome: 'accepted', clockMs: 142},
		});
		const worker = scheduler.workers.get(listing.id);
		assert.equal(worker?.acknowledgedOwner, true);
		assert.ok(worker.leaseUntilMs <= now + scheduler.leaseMs, `lease until ${worker.leaseUntilMs}`);
	});
});
