import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type z} from 'zod';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type SchedulerEvent} from '../state/event.js';
import {jobSchema} from '../state/job-schema.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';

const configuration = configurationSchema.parse({
	version: 1,
	queues: [{
		name: 'plans', host: 'jobs.example', pathPrefix: '/plans/', service: 'planner', maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600,
	}],
	pools: [{name: 'planner'}],
	organisations: [{name: 'north', keys: ['key-north']}],
	maximumBodyBytes: 65_536,
});

/** Creates an owner with four idle workers with the label `a`, of which two may run tasks in isolation, and suspects all tasks of the jobs. */
function createOwner(jobs: Readonly<Record<string, z.input<typeof jobSchema>['steps']>>) {
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	const started: string[] = [];
	const state = {now: 0};
	const dispatch = (event: SchedulerEvent): void => {
		for (const effect of reduceScheduler(scheduler, event, {now: state.now, timeOfDay: state.now})) {
			if (effect.type === 'start') {
				started.push(effect.task);
			}
		}
	};

	for (let position = 1; position <= 4; position++) {
		dispatch({
			type: 'worker-listed',
			worker: {
				id: `w${position}`, address: `10.0.0.${position}:80`, service: 'planner', availabilityZone: 'east', rack: 'r1', labels: ['a'], capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0}, leaving: false, instance: `m${position}`, startedAtMs: 1,
			},
		});
		dispatch({
			type: 'worker-reported', worker: `w${position}`, requestedAt: 0, report: {
				startedAtMs: 1, clockMs: 5000, ended: [], running: [],
			},
		});
	}

	dispatch({type: 'ticked'});
	dispatch({type: 'committed', number: scheduler.commitNumber});
	for (const [id, steps] of Object.entries(jobs)) {
		dispatch({
			type: 'job-accepted',
			job: jobSchema.parse({
				id, queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs: 0, maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600, steps,
			}),
		});
		for (const {groups} of scheduler.jobs.get(id)?.occurrences.get(0) ?? []) {
			for (const group of groups) {
				group.suspected = true;
			}
		}
	}

	state.now = 100;
	dispatch({type: 'ticked'});
	return {started};
}

const step = {count: 1, cpuMillis: 1000, estimatedMs: 600};

/** What the suspected tasks lack. */
const shortages: Readonly<Record<string, Partial<z.input<typeof jobSchema>['steps'][number]>>> = {
	'a label': {requirement: 'b'}, 'a larger worker': {cpuMillis: 17_000}, accelerators: {accelerators: 1},
};

describe('suspected tasks that wait for something absent', () => {
	for (const [shortage, changes] of Object.entries(shortages)) {
		for (const count of [1, 2, 3, 12]) {
			it(`guards against ${count} jobs without ${shortage} that use up the places in isolation`, () => {
				const waiting = Object.fromEntries(Array.from({length: count}, (_, index) => [`waiting${index}`, [{...step, ...changes}]]));
				assert.deepEqual(createOwner({...waiting, job: [step]}).started, ['job.0.0.0']);
			});
		}

		it(`guards against a step without ${shortage} that uses up the turn of its job`, () => {
			assert.deepEqual(createOwner({job: [{...step, ...changes}, step]}).started, ['job.0.1.0']);
		});
	}
});
