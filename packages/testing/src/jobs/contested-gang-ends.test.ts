import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/state/effect';
import {type EndedTask, type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';

describe('an end of a run of a gang that has been started again', () => {
	it('guards against acknowledging the end while another member of the later run may still start', () => {
		const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
		const effects: SchedulerEffect[] = [];
		let now = 0;
		const dispatch = (event: SchedulerEvent): void => {
			effects.push(...reduceScheduler(scheduler, event, {now, timeOfDay: now}));
		};

		const report = (worker: string, ended: readonly EndedTask[] = []): void => {
			dispatch({
				type: 'worker-reported', worker, requestedAt: now, report: {
					startedAtMs: 1, clockMs: now, running: [], ended,
				},
			});
		};

		const tick = (): void => {
			now += 100;
			dispatch({type: 'ticked'});
			if (scheduler.commit !== undefined) {
				dispatch({type: 'committed', number: scheduler.commit.number});
			}
		};

		for (const worker of createWorkers(3)) {
			dispatch({type: 'worker-listed', worker});
			report(worker.id);
		}

		tick();
		addJob({
			scheduler, now, timeOfDay: now, effects,
		}, createJob('a', {
			steps: [{
				count: 2, cpuMillis: 9000, estimatedMs: 300, gang: true,
			}],
		}));
		// An earlier run, which was given up, ended as done on the worker that has no member of the present run.
		for (const group of scheduler.jobs.get('a')?.occurrences.get(0)?.[0]?.groups ?? []) {
			group.run = 1;
		}

		tick();
		const starts = effects.filter(effect => effect.type === 'start');
		assert.deepEqual(starts.map(({run}) => run), [2, 2]);
		const former = ['w1', 'w2', 'w3'].find(id => starts.every(({worker}) => worker !== id)) ?? '';
		report(former, [{
			number: 1, task: 'a.0.0.0', run: 1, end: 'done', checkpoint: '',
		}]);
		const [first, second] = starts;
		assert.ok(first !== undefined && second !== undefined);
		assert.ok([first, second].every(({task}) => effects.some(effect => effect.type === 'stop' && effect.task === task)));
		for (const [position, {worker, task}] of [first, second].entries()) {
			tick();
			assert.equal(scheduler.workers.get(former)?.committedEndNumber, 0, `after ${position} stops`);
			report(worker, [{
				number: 1, task, run: 2, end: 'stopped', checkpoint: '',
			}]);
		}

		tick();
		assert.equal(scheduler.workers.get(former)?.committedEndNumber, 1);
	});
});
