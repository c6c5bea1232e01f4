import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type z} from 'zod';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type SchedulerEffect} from '../state/effect.js';
import {type SchedulerEvent} from '../state/event.js';
import {jobSchema} from '../state/job-schema.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';

type StepChanges = Partial<z.input<typeof jobSchema>['steps'][number]>;

const queue = {
	host: 'jobs.example', service: 'planner', maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600,
};
const configuration = configurationSchema.parse({
	version: 1,
	queues: [{name: 'plans', pathPrefix: '/plans/', ...queue}, {
		name: 'advised', pathPrefix: '/advised/', ...queue, ticketRule: {decideMs: 100, eachMs: 2, validMs: 3000},
	}],
	pools: [{name: 'planner'}],
	organisations: [{name: 'north', keys: ['key-north']}, {name: 'south', keys: ['key-south'], limit: {cpuMillis: 10_000, memoryMb: 0, accelerators: 0}}],
	maximumBodyBytes: 65_536,
});

/** Creates an owner with seven idle workers of 16 cores. */
function createOwner() {
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	const started: string[] = [];
	const state = {now: 0};
	const dispatch = (event: SchedulerEvent): void => {
		const effects: SchedulerEffect[] = reduceScheduler(scheduler, event, {now: state.now, timeOfDay: state.now});
		for (const effect of effects) {
			if (effect.type === 'start') {
				started.push(effect.task);
				dispatch({
					type: 'start-answered', worker: effect.worker, task: effect.task, run: effect.run, answer: {outcome: 'accepted', clockMs: 5000 + state.now},
				});
			} else if (effect.type === 'ask-tickets') {
				dispatch({
					type: 'tickets-answered', call: effect.call, answer: {outcome: 'decided', tickets: [], validMs: 3000},
				});
			}
		}
	};

	const report = (worker: string): void => {
		dispatch({
			type: 'worker-reported', worker, requestedAt: state.now, report: {
				startedAtMs: 1, clockMs: 5000 + state.now, ended: [],
				running: [...scheduler.workers.get(worker)?.tasks ?? []].map(({id: task, run}) => ({
					task, run, checkpoint: '', percent: 100, load: 0,
				})),
			},
		});
	};

	const advance = (durationMs: number): void => {
		for (const end = state.now + durationMs; state.now < end;) {
			state.now += 50;
			for (const worker of scheduler.workers.keys()) {
				report(worker);
			}

			dispatch({type: 'ticked'});
			if (scheduler.commit !== undefined) {
				dispatch({type: 'committed', number: scheduler.commit.number});
			}
		}
	};

	const submit = (id: string, step: StepChanges, changes: Partial<z.input<typeof jobSchema>> = {}): void => {
		dispatch({
			type: 'job-accepted',
			job: jobSchema.parse({
				id, queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs: state.now, maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600, ...changes,
				steps: [{
					count: 1, cpuMillis: 500, memoryMb: 64, estimatedMs: 600, ...step,
				}],
			}),
		});
	};

	for (let position = 1; position <= 7; position++) {
		dispatch({
			type: 'worker-listed',
			worker: {
				id: `w${position}`, address: `10.0.0.${position}:80`, service: 'planner', availabilityZone: 'east', rack: 'r1', labels: ['a'], capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0}, leaving: false, instance: `m${position}`, startedAtMs: 1,
			},
		});
	}

	advance(200);
	return {advance, submit, started};
}

/** What the waiting jobs lack. */
const shortages: Readonly<Record<string, {step: StepChanges; changes?: Partial<z.input<typeof jobSchema>>}>> = {
	'a label': {step: {requirement: 'b'}},
	'a larger worker': {step: {cpuMillis: 17_000}},
	accelerators: {step: {accelerators: 1}},
	'a larger gang of workers': {step: {count: 8, cpuMillis: 15_000, gang: true}},
	'room for a gang under anti-affinity': {step: {count: 8, gang: true, antiAffinity: 1}},
	'a ticket': {step: {}, changes: {queue: 'advised'}},
	'their upper limit': {step: {count: 2, cpuMillis: 7500, gang: true}, changes: {organisation: 'south'}},
};

describe('jobs that wait for something absent', () => {
	for (const [shortage, {step, changes = {}}] of Object.entries(shortages)) {
		for (const count of [7, 11, 12, 13, 31]) {
			for (const longRunning of [false, true]) {
				it(`guards against ${count} ${longRunning ? 'long-running ' : ''}jobs without ${shortage} that hold back jobs behind them`, () => {
					const {advance, submit, started} = createOwner();
					for (let index = 0; index < count; index++) {
						submit(`waiting${index}`, {...step, longRunning}, {acceptedAtMs: 1, ...changes});
					}

					advance(3000);
					submit('job', {count: 4, cpuMillis: 1000});
					submit('lasting', {longRunning: true, cpuMillis: 15_500});
					advance(1000);
					const organisation = changes.organisation ?? 'north';
					submit('same', {count: 2, cpuMillis: 400}, {organisation});
					advance(1000);
					assert.deepEqual(started.filter(task => task.startsWith('waiting')), []);
					assert.equal(started.filter(task => task.startsWith('job')).length, 4);
					assert.equal(started.filter(task => task.startsWith('lasting')).length, 1);
					assert.equal(started.filter(task => task.startsWith('same')).length, 2);
				});
			}
		}
	}
});
