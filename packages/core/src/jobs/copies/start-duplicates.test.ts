import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {releaseLostTasks} from '../runs/release-lost-tasks.js';
import {addJob} from '../state/add-job.js';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type SchedulerEffect} from '../state/effect.js';
import {type EndedTask} from '../state/event.js';
import {jobSchema, type Step} from '../state/job-schema.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';
import {startDuplicates} from './start-duplicates.js';

const id = 'a.0.0.0';
const configuration = configurationSchema.parse({
	version: 1,
	queues: [{
		name: 'plans', host: 'jobs.example', pathPrefix: '/', service: 'planner', maximumAttempts: 3, stretch: 1, targetLatencyMs: 0,
	}],
	pools: [{name: 'planner'}],
	organisations: [{name: 'north', keys: ['key-north'], limit: {cpuMillis: 10_000}}],
	maximumBodyBytes: 1,
});

/** Creates an owner with three workers and a task that has made 10 % progress in twice the time estimated for it. */
function createOwner(step: Partial<Step> = {}) {
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	const effects: SchedulerEffect[] = [];
	const time = {now: 1000, timeOfDay: 1000};
	for (const worker of ['w1', 'w2', 'w3']) {
		reduceScheduler(scheduler, {
			type: 'worker-listed', worker: {
				id: worker, address: `${worker}:80`, service: 'planner', availabilityZone: 'east', rack: 'r1', labels: [], capacity: {cpuMillis: 16_000, memoryMb: 1024, accelerators: 0}, leaving: false, instance: worker, startedAtMs: 1,
			},
		}, time);
	}

	for (const worker of scheduler.workers.values()) {
		Object.assign(worker, {
			acknowledgedOwner: true, recordedAsHolder: true, startedAtMs: 1, unreconciledUntil: 0,
		});
	}

	const context = {scheduler, ...time, effects};
	addJob(context, jobSchema.parse({
		id: 'a', queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs: 1000, steps: [{
			count: 1, cpuMillis: 2000, estimatedMs: 400, allowDuplicates: true, ...step,
		}],
	}));
	reduceScheduler(scheduler, {type: 'ticked'}, time);
	const task = scheduler.tasks.get(id);
	assert.ok(task?.worker);
	const {worker} = task;
	context.now = 1800;
	Object.assign(task, {state: 'running', percent: 10, openStartOrders: 0});
	Object.assign(worker, {lastResponseAt: 1800, reportAnsweredAt: 1800});
	const report = (reporting: string, changes: {ended?: EndedTask[]; running?: number[]}) => {
		effects.push(...reduceScheduler(scheduler, {
			type: 'worker-reported', worker: reporting, requestedAt: context.now, report: {
				startedAtMs: 1, clockMs: context.now, ended: changes.ended ?? [], running: (changes.running ?? []).map(run => ({
					task: id, run, checkpoint: '', percent: 10, load: 0,
				})),
			},
		}, context));
	};

	return {
		scheduler, context, effects, task, worker, report,
	};
}

function countStarts(effects: readonly SchedulerEffect[]): number {
	return effects.filter(effect => effect.type === 'start').length;
}

describe('startDuplicates', () => {
	it('starts a duplicate on another worker, with a higher run number, and counts its usage', () => {
		const {scheduler, context, effects, task, worker} = createOwner();
		startDuplicates(context);
		assert.equal(countStarts(effects), 1);
		assert.notEqual(task.duplicate?.worker, worker);
		assert.equal(task.duplicate?.run, 2);
		assert.equal(scheduler.usedByOrganisation.get('north')?.cpuMillis, 4000);
		startDuplicates(context);
		assert.equal(countStarts(effects), 1);
	});

	const refusals: Record<string, (owner: ReturnType<typeof createOwner>) => void> = {
		'a step without the field'({task}) {
			Object.assign(task.group, {definition: {...task.group.definition, allowDuplicates: false}});
		},
		'a gang'({task}) {
			Object.assign(task.group, {definition: {...task.group.definition, gang: true}});
		},
		'a long-running task'({task}) {
			Object.assign(task.group, {definition: {...task.group.definition, longRunning: true}});
		},
		'a best-effort task'({task}) {
			Object.assign(task.group, {definition: {...task.group.definition, fills: true}});
		},
		'a task with one attempt left'({task}) {
			task.group.failedRuns.add(90).add(91);
		},
		'a task that may have crashed a worker'({task}) {
			task.group.suspected = true;
		},
		'a cancelled job'({task}) {
			task.group.job.cancelled = true;
		},
		'a run that is being stopped'({task}) {
			task.state = 'stopping';
		},
		'an organisation at its limit'({scheduler}) {
			scheduler.usedByOrganisation.set('north', {cpuMillis: 9000, memoryMb: 0, accelerators: 0});
		},
		'a withdrawn zone'({scheduler}) {
			scheduler.withdrawnZones.add('east');
		},
	};
	for (const [name, change] of Object.entries(refusals)) {
		it(`guards against a duplicate of or in ${name}`, () => {
			const owner = createOwner();
			change(owner);
			startDuplicates(owner.context);
			assert.equal(countStarts(owner.effects), 0);
		});
	}

	it('guards against a duplicate after a takeover while a worker may still run one of the former owner', () => {
		const {scheduler, context, effects, task} = createOwner();
		Object.assign(task.group.job, {recovered: true});
		for (const worker of scheduler.workers.values()) {
			worker.unreconciledUntil = 5000;
		}

		startDuplicates(context);
		assert.equal(countStarts(effects), 0);
	});

	it('guards against counting usage twice or not at all when either run ends first', () => {
		for (const endsFirst of ['original', 'duplicate']) {
			const {scheduler, context, effects, task, report} = createOwner();
			startDuplicates(context);
			const {duplicate} = task;
			assert.ok(duplicate);
			const [first, second] = endsFirst === 'original' ? [task, duplicate] : [duplicate, task];
			const [winner, loser] = [first.worker, second.worker];
			assert.ok(winner && loser);
			report(winner.id, {
				ended: [{
					number: 1, task: id, run: first.run, end: 'done', checkpoint: '',
				}],
			});
			assert.ok(effects.some(effect => effect.type === 'stop' && effect.worker === loser.id && effect.run === second.run));
			assert.equal(scheduler.usedByOrganisation.get('north')?.cpuMillis, 2000);
			report(loser.id, {
				ended: [{
					number: 1, task: id, run: second.run, end: 'stopped', checkpoint: '',
				}],
			});
			assert.equal(scheduler.usedByOrganisation.get('north')?.cpuMillis, 0);
			assert.equal(winner.tasks.size + loser.tasks.size, 0);
			assert.equal(scheduler.jobs.get('a')?.end?.state, 'completed');
		}
	});

	it('guards against a failed job or a third open run when the duplicate fails', () => {
		const {scheduler, context, task, report} = createOwner();
		task.group.failedRuns.add(90);
		startDuplicates(context);
		const {duplicate} = task;
		assert.ok(duplicate?.worker);
		report(duplicate.worker.id, {
			ended: [{
				number: 1, task: id, run: duplicate.run, end: 'failed', checkpoint: '',
			}],
		});
		assert.equal(scheduler.jobs.get('a')?.end, undefined);
		assert.equal(scheduler.tasks.get(id), task);
		assert.equal(task.duplicate, undefined);
		context.now += 2000;
		startDuplicates(context);
		assert.equal(task.duplicate, undefined);
	});

	it('guards against a second start of the task when the worker of the original is lost', () => {
		const {scheduler, context, effects, task, worker} = createOwner();
		startDuplicates(context);
		const {duplicate} = task;
		releaseLostTasks(context, worker, 'instance-replaced');
		assert.equal(scheduler.tasks.get(id), duplicate);
		assert.equal(scheduler.usedByOrganisation.get('north')?.cpuMillis, 2000);
		effects.push(...reduceScheduler(scheduler, {type: 'ticked'}, context));
		assert.equal(countStarts(effects), 1);
	});
});
