import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/state/effect';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {findLeaseExpiry} from '@rosemaryquay/core/jobs/runs/find-lease-expiry';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';

/** A worker that has run a task restarts while it is idle and the store tells nothing, and accepts a second task 6 s later. */
function restartWhileIdle() {
	const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
	const [listing] = createWorkers(1);
	assert.ok(listing !== undefined);
	const effects: SchedulerEffect[] = [];
	const state = {now: 0};
	const dispatch = (event: SchedulerEvent): void => {
		effects.push(...reduceScheduler(scheduler, event, {now: state.now, timeOfDay: state.now}));
	};

	const advance = (durationMs: number): void => {
		state.now += durationMs;
		dispatch({type: 'ticked'});
		if (scheduler.commit !== undefined) {
			dispatch({type: 'committed', number: scheduler.commit.number});
		}
	};

	const submit = (id: string): void => {
		addJob({
			scheduler, now: state.now, timeOfDay: state.now, effects,
		}, createJob(id, {steps: [{count: 1, cpuMillis: 1000, estimatedMs: 100}]}));
	};

	dispatch({type: 'worker-listed', worker: listing});
	dispatch({
		type: 'worker-reported', worker: listing.id, requestedAt: 0, report: {
			startedAtMs: 1, clockMs: 5000, running: [], ended: [],
		},
	});
	advance(100);
	submit('a');
	advance(40);
	dispatch({
		type: 'worker-reported', worker: listing.id, requestedAt: state.now, report: {
			startedAtMs: 1, clockMs: 5240, running: [], ended: [{
				number: 1, task: 'a.0.0.0', run: 1, end: 'done', checkpoint: '',
			}],
		},
	});
	advance(100);
	for (let round = 0; round < 300; round++) {
		advance(100);
	}

	submit('b');
	advance(40);
	assert.ok(effects.some(effect => effect.type === 'start' && effect.task === 'b.0.0.0'));
	state.now += 4;
	dispatch({
		type: 'start-answered', worker: listing.id, task: 'b.0.0.0', run: 1, answer: {outcome: 'accepted', clockMs: 6000},
	});
	return {scheduler, state};
}

describe('a worker that restarts under its id while it is idle, and whose clock has passed the last reading of the earlier one', () => {
	it('guards against judging its lease by the clock of the earlier incarnation', () => {
		const {scheduler, state} = restartWhileIdle();
		const worker = scheduler.workers.get('w1');
		assert.ok(worker);
		const longestMs = (scheduler.longestLeaseMs / 0.98) + 200;
		assert.ok(findLeaseExpiry(worker) <= state.now + longestMs, `lease counts for ${Math.round(findLeaseExpiry(worker) - state.now)} ms`);
	});
});
