import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {assignTask} from '@rosemaryquay/core/jobs/runs/assign-task';
import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {type Scheduler} from '@rosemaryquay/core/jobs/state/scheduler';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';

/** Creates an owner that has ordered something about the instance of `w1`, which ended it; `w2` runs on the instance now, with a task. */
function createOwner(order: (scheduler: Scheduler, incarnation: {worker: string; startedAtMs: number}) => void) {
	const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
	const dispatch = (event: SchedulerEvent): void => {
		reduceScheduler(scheduler, event, {now: 3000, timeOfDay: 3000});
	};

	const [worker] = createWorkers(1);
	assert.ok(worker);
	dispatch({type: 'worker-listed', worker});
	order(scheduler, {worker: 'w1', startedAtMs: worker.startedAtMs});
	dispatch({type: 'worker-unlisted', id: 'w1'});
	dispatch({type: 'worker-listed', worker: {...worker, id: 'w2', startedAtMs: 2000}});
	addJob({
		scheduler, now: 3000, timeOfDay: 3000, effects: [],
	}, createJob('a'));
	const second = scheduler.workers.get('w2');
	const task = scheduler.tasks.get('a.0.0.0');
	assert.ok(second && task);
	assignTask(scheduler, task, {worker: second, run: 1, state: 'running'});
	return {dispatch, task};
}

describe('an order about an instance that is repeated after its answer was lost, and accepted as already carried out', () => {
	it('guards against giving up the tasks of the worker that joined after a move', () => {
		const {dispatch, task} = createOwner((scheduler, incarnation) => {
			scheduler.moves.set('m1', {
				instance: 'm1', pool: 'planner', incarnation, state: 'requested', requestedAt: 0, acceptedAt: 0,
			});
		});
		dispatch({
			type: 'move-answered', instance: 'm1', pool: 'planner', outcome: 'accepted',
		});
		assert.equal(task.worker?.id, 'w2');
	});

	it('guards against giving up the tasks of the worker that joined after an upkeep', () => {
		const {dispatch, task} = createOwner(scheduler => {
			scheduler.waves.set(1, {
				request: {
					number: 1, instances: ['m1'], durationMs: 10_000, maximumDown: 1,
				},
				requestedAt: 0,
				completed: false,
				published: 'running',
				upkeeps: new Map([['m1', {
					instance: 'm1', state: 'requested', changedAt: 0, retryAt: 0, acceptedAt: 0, mayHaveBegun: false,
				}]]),
			});
		});
		dispatch({
			type: 'upkeep-answered', wave: 1, instance: 'm1', outcome: 'accepted',
		});
		assert.equal(task.worker?.id, 'w2');
	});
});
