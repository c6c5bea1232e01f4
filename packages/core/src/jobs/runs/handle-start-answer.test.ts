import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type SchedulerEffect} from '../state/effect.js';
import {type OrderOutcome, type SchedulerEvent, type WorkerReport} from '../state/event.js';
import {jobSchema} from '../state/job-schema.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';

const configuration = configurationSchema.parse({
	version: 1,
	queues: [{
		name: 'plans', host: 'jobs.example', pathPrefix: '/plans/', service: 'planner', maximumAttempts: 3,
	}],
	pools: [{name: 'planner'}],
	organisations: [],
	maximumBodyBytes: 1000,
});

/** Creates an owner with one worker and a job whose only task is ready to start. */
function createOwner() {
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	let now = 0;
	const dispatch = (event: SchedulerEvent): SchedulerEffect[] => {
		now += 5;
		return reduceScheduler(scheduler, event, {now, timeOfDay: now});
	};

	const report = (ended: WorkerReport['ended'] = [], running: WorkerReport['running'] = []): SchedulerEvent => ({
		type: 'worker-reported',
		worker: 'w1',
		requestedAt: now,
		report: {
			startedAtMs: 1, clockMs: now, running, ended,
		},
	});
	dispatch({
		type: 'worker-listed',
		worker: {
			id: 'w1', address: '10.0.0.1:80', service: 'planner', availabilityZone: 'east', rack: 'r1', labels: [], capacity: {cpuMillis: 1000, memoryMb: 1000, accelerators: 0}, leaving: false, instance: 'm1', startedAtMs: 1,
		},
	});
	dispatch({type: 'ticked'});
	dispatch(report());
	dispatch({type: 'ticked'});
	dispatch({type: 'committed', number: 1});
	dispatch({
		type: 'job-accepted',
		job: jobSchema.parse({
			id: 'a', queue: 'plans', service: 'planner', organisation: '', acceptedAtMs: 0, maximumAttempts: 3, steps: [{count: 1, cpuMillis: 500, estimatedMs: 100}],
		}),
	});
	const answer = (run: number, outcome: OrderOutcome): SchedulerEvent => ({
		type: 'start-answered', worker: 'w1', task: 'a.0.0.0', run, answer: {outcome},
	});
	return {
		scheduler, dispatch, report, answer,
	};
}

const listStarts = (effects: readonly SchedulerEffect[]): number[] => effects.filter(effect => effect.type === 'start').map(({run}) => run);

describe('answers to an order to start', () => {
	it('does not start a second run when the answer to the first order was lost and its run has ended', () => {
		const {scheduler, dispatch, report, answer} = createOwner();
		assert.deepEqual(listStarts(dispatch({type: 'ticked'})), [1]);
		assert.deepEqual(listStarts(dispatch(answer(1, 'unanswered'))), [1]);
		dispatch(answer(1, 'superseded'));
		assert.deepEqual(listStarts(dispatch({type: 'ticked'})), []);
		dispatch(report([{
			number: 1, task: 'a.0.0.0', run: 1, end: 'done', checkpoint: '',
		}]));
		assert.deepEqual(listStarts(dispatch({type: 'ticked'})), []);
		assert.equal(scheduler.jobs.get('a')?.end?.state, 'completed');
	});

	it('starts a higher run at once when the only order was refused as superseded', () => {
		const {dispatch, answer} = createOwner();
		assert.deepEqual(listStarts(dispatch({type: 'ticked'})), [1]);
		dispatch(answer(1, 'superseded'));
		assert.deepEqual(listStarts(dispatch({type: 'ticked'})), [2]);
	});

	for (const outcome of ['full', 'unhealthy', 'late', 'invalid'] as const) {
		it(`stops the run after an earlier order was unanswered and the repeated one was refused: ${outcome}`, () => {
			const {dispatch, answer} = createOwner();
			dispatch({type: 'ticked'});
			dispatch(answer(1, 'unanswered'));
			const effects = dispatch(answer(1, outcome));
			assert.deepEqual(effects.filter(({type}) => type === 'stop').length, 1);
			assert.deepEqual(listStarts(dispatch({type: 'ticked'})), []);
		});
	}

	it('guards against stopping a running task because the answers to all its orders were lost', () => {
		const {scheduler, dispatch, report, answer} = createOwner();
		dispatch({type: 'ticked'});
		for (let order = 1; order <= 3; order++) {
			assert.deepEqual(dispatch(answer(1, 'unanswered')).filter(({type}) => type === 'stop'), []);
		}

		const effects = dispatch(report([], [{
			task: 'a.0.0.0', run: 1, checkpoint: '', percent: 40, load: 0,
		}]));
		assert.deepEqual(effects.filter(({type}) => type === 'stop'), []);
		assert.equal(scheduler.tasks.get('a.0.0.0')?.state, 'running');
	});

	it('stops the run when all its orders were unanswered and a later report does not show it, because one of them may be carried out late', () => {
		const {dispatch, report, answer} = createOwner();
		dispatch({type: 'ticked'});
		for (let order = 1; order <= 3; order++) {
			dispatch(answer(1, 'unanswered'));
		}

		assert.equal(dispatch(report()).filter(({type}) => type === 'stop').length, 1);
		assert.deepEqual(listStarts(dispatch({type: 'ticked'})), []);
	});

	for (const outcome of ['unreachable', 'withheld'] as const) {
		it(`starts a higher run after a pause when the only order was not sent: ${outcome}`, () => {
			const {scheduler, dispatch, report, answer} = createOwner();
			dispatch({type: 'ticked'});
			assert.deepEqual(dispatch(answer(1, outcome)).filter(({type}) => type === 'stop'), []);
			assert.equal(scheduler.tasks.get('a.0.0.0')?.state, 'unassigned');
			dispatch(report());
			assert.deepEqual(listStarts(dispatch({type: 'ticked'})), []);
			for (let event = 0; event < 60; event++) {
				dispatch({type: 'instances-unlisted'});
			}

			assert.deepEqual(listStarts(dispatch({type: 'ticked'})), [2]);
		});
	}

	it('steps down when a worker has seen a later owner', () => {
		const {dispatch, answer} = createOwner();
		dispatch({type: 'ticked'});
		assert.ok(dispatch(answer(1, 'fenced')).some(({type}) => type === 'step-down'));
	});
});
