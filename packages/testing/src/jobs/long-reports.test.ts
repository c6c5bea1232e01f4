import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type EndedTask, type RunningTask} from '@rosemaryquay/core/jobs/state/event';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';

const task = 'a.0.0.0';

describe('reports that cannot hold all ends of a worker', () => {
	it('guards against starting a task again whose end did not fit into the report', () => {
		const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
		const [listing] = createWorkers(1);
		assert.ok(listing !== undefined);
		reduceScheduler(scheduler, {type: 'worker-listed', worker: listing}, {now: 0, timeOfDay: 0});
		addJob({
			scheduler, now: 0, timeOfDay: 0, effects: [],
		}, createJob('a', {steps: [{count: 1, cpuMillis: 1000, estimatedMs: 300}]}));
		const report = (now: number, contents: {running?: readonly RunningTask[]; ended?: readonly EndedTask[]}): void => {
			reduceScheduler(scheduler, {
				type: 'worker-reported', worker: listing.id, requestedAt: now, report: {
					startedAtMs: 1, clockMs: now, running: [], ended: [], ...contents,
				},
			}, {now, timeOfDay: now});
		};

		const ended = Array.from({length: 501}, (_, position): EndedTask => ({
			number: position + 1, task: position === 500 ? task : `b.0.0.${position}`, run: 1, end: 'done', checkpoint: '',
		}));
		report(0, {
			running: [{
				task, run: 1, checkpoint: '', percent: 0, load: 0,
			}],
		});
		report(1000, {ended: ended.slice(0, 500)});
		assert.equal(scheduler.tasks.get(task)?.worker?.id, listing.id);
		report(1100, {ended: ended.slice(500)});
		assert.equal(scheduler.jobs.get('a')?.end?.state, 'completed');
	});
});
