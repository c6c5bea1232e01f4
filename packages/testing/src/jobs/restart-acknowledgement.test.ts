import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/state/effect';
import {type EndedTask, type RunningTask, type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';

/** Runs a task whose end the owner has received and is still storing, and a second one whose start order is open. */
function createOwnerWithUnstoredEnd() {
	const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
	const [listing] = createWorkers(1);
	assert.ok(listing !== undefined);
	const effects: SchedulerEffect[] = [];
	const state = {now: 0};
	const dispatch = (event: SchedulerEvent): void => {
		effects.push(...reduceScheduler(scheduler, event, {now: state.now, timeOfDay: state.now}));
	};

	const report = (contents: {running?: readonly RunningTask[]; ended?: readonly EndedTask[]}): void => {
		dispatch({
			type: 'worker-reported', worker: listing.id, requestedAt: state.now, report: {
				startedAtMs: 1, clockMs: 5000 + state.now, running: [], ended: [], ...contents,
			},
		});
	};

	const advance = (durationMs: number): void => {
		state.now += durationMs;
		dispatch({type: 'ticked'});
	};

	const submit = (id: string): void => {
		addJob({
			scheduler, now: state.now, timeOfDay: state.now, effects,
		}, createJob(id, {steps: [{count: 1, cpuMillis: 1000, estimatedMs: 100}]}));
	};

	dispatch({type: 'worker-listed', worker: listing});
	report({});
	advance(100);
	dispatch({type: 'committed', number: scheduler.commitNumber});
	submit('a');
	advance(40);
	dispatch({
		type: 'start-answered', worker: listing.id, task: 'a.0.0.0', run: 1, answer: {outcome: 'accepted', clockMs: 5000 + state.now},
	});
	advance(100);
	report({
		ended: [{
			number: 1, task: 'a.0.0.0', run: 1, end: 'done', checkpoint: '',
		}],
	});
	submit('b');
	advance(40);
	assert.ok(scheduler.commit !== undefined);
	assert.ok(effects.some(effect => effect.type === 'start' && effect.task === 'b.0.0.0'));
	/** The store confirms the end; returns the acknowledgement in the next request for a report. */
	const acknowledge = (): number | undefined => {
		const count = effects.length;
		dispatch({type: 'committed', number: scheduler.commitNumber});
		advance(40);
		const request = effects.slice(count).find(effect => effect.type === 'report');
		assert.ok(request?.type === 'report');
		return request.storedEnd;
	};

	return {
		scheduler, state, dispatch, advance, listing, acknowledge,
	};
}

describe('acknowledgements to a worker that is known to have restarted under its id', () => {
	it('guards against an end of the earlier incarnation acknowledged after the store has listed the next one', () => {
		const {dispatch, advance, listing, acknowledge} = createOwnerWithUnstoredEnd();
		advance(40);
		dispatch({type: 'worker-listed', worker: {...listing, startedAtMs: 190}});
		advance(200);
		// The new incarnation has run b meanwhile, and keeps its end as number 1.
		assert.equal(acknowledge(), 0);
	});

	it('guards against an end of the earlier incarnation acknowledged after an answer has shown the clock of the next one', () => {
		const {dispatch, advance, listing, acknowledge} = createOwnerWithUnstoredEnd();
		advance(10);
		dispatch({
			type: 'start-answered', worker: listing.id, task: 'b.0.0.0', run: 1, answer: {outcome: 'accepted', clockMs: 8},
		});
		advance(200);
		assert.equal(acknowledge(), 0);
	});
});
