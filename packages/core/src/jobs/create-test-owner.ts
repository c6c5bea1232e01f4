import {type z} from 'zod';
import {type Configuration, configurationSchema} from './state/configuration-schema.js';
import {createScheduler} from './state/create-scheduler.js';
import {type SchedulerEffect} from './state/effect.js';
import {type SchedulerEvent, type WorkerReport} from './state/event.js';
import {jobSchema} from './state/job-schema.js';
import {reduceScheduler} from './state/reduce-scheduler.js';
import {type ListedWorker, type Scheduler} from './state/scheduler.js';

type JobChanges = Partial<z.input<typeof jobSchema>>;

/** Changes to a step of one task of half a core. */
export type StepChanges = Partial<z.input<typeof jobSchema>['steps'][number]>;

type Options = {
	/** Changes to workers of 16 cores with the label `a`; their ids are `w1`, `w2` and so on. */
	readonly workers?: ReadonlyArray<Partial<ListedWorker>>;
	readonly configuration?: Partial<z.input<typeof configurationSchema>>;
	/** Each start order is accepted at once. */
	readonly answersStarts?: boolean;
	/** Receives each effect, with the owner. */
	readonly onEffect?: (effect: SchedulerEffect, owner: TestOwner) => void;
};

/** Owner of a schedule whose workers accept orders and report what they have accepted, without a network and without ends. */
export type TestOwner = {
	readonly scheduler: Scheduler;
	readonly state: {now: number};
	/** All effects since the workers have reported first. */
	readonly effects: SchedulerEffect[];
	/** Start orders among them. */
	readonly started: Array<{readonly task: string; readonly worker: string}>;
	dispatch(event: SchedulerEvent): void;
	/** Submits a job of `north`, with one step of one task that takes half a core and 0.6 s unless the changes say otherwise. */
	submit(id: string, steps?: StepChanges | readonly StepChanges[], changes?: JobChanges): void;
	report(worker: string, changes?: Partial<WorkerReport>): void;
	answerStart(order: {readonly task: string; readonly worker: string; readonly run?: number}): void;
	/** Passes time, ticks once and confirms the write of progress, if there is one. */
	tick(durationMs: number): void;
	/** Passes time, with a tick and a report of each worker every 50 ms. */
	advance(durationMs: number): void;
	/** Workers on which the tasks of a job were started. */
	listWorkersOf(job: string): string[];
};

const reportIntervalMs = 50;

/** Reading of the workers' clocks at the start. */
const clockOffsetMs = 5000;

const queue = {
	host: 'jobs.example', service: 'planner', maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600,
};

function createConfiguration(changes: Options['configuration']): Configuration {
	return configurationSchema.parse({
		version: 1,
		queues: [
			{...queue, name: 'plans', pathPrefix: '/plans/'},
			{
				...queue, name: 'advised', pathPrefix: '/advised/', ticketRule: {decideMs: 100, eachMs: 2, validMs: 3000},
			},
		],
		pools: [{name: 'planner'}],
		organisations: [{name: 'north', keys: ['key-north']}, {
			name: 'south', keys: ['key-south'], limit: {cpuMillis: 10_000, memoryMb: 0, accelerators: 0},
		}],
		maximumBodyBytes: 65_536,
		...changes,
	});
}

function createListing(position: number, changes: Partial<ListedWorker>): ListedWorker {
	return {
		id: `w${position}`, address: `10.0.0.${position}:80`, service: 'planner', availabilityZone: 'east', rack: 'r1', labels: ['a'],
		capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0}, leaving: false, instance: `m${position}`, startedAtMs: 1, ...changes,
	};
}

/**
 * Creates an owner of the schedule for tests of its decisions.
 *
 * @param options - workers, configuration, and how effects are answered
 * @returns the owner; its workers have reported and can get tasks
 * @example
 * createTestOwner({workers: [{}, {labels: ['b']}]}).submit('a', {requirement: 'b'});
 */
export function createTestOwner(options: Options = {}): TestOwner {
	const {workers = [{}], answersStarts = true, onEffect = () => undefined} = options;
	const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration(options.configuration)});
	const owner: TestOwner = {
		scheduler,
		state: {now: 0},
		effects: [],
		started: [],
		dispatch(event) {
			const {now} = owner.state;
			for (const effect of reduceScheduler(scheduler, event, {now, timeOfDay: now})) {
				owner.effects.push(effect);
				if (effect.type === 'start') {
					owner.started.push({task: effect.task, worker: effect.worker});
					if (answersStarts) {
						owner.answerStart(effect);
					}
				}

				onEffect(effect, owner);
			}
		},
		submit(id, steps = {}, changes = {}) {
			const list = Array.isArray(steps) ? steps as readonly StepChanges[] : [steps as StepChanges];
			owner.dispatch({
				type: 'job-accepted',
				job: jobSchema.parse({
					id, queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs: owner.state.now, maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600, ...changes,
					steps: list.map(step => ({
						count: 1, cpuMillis: 500, memoryMb: 64, estimatedMs: 600, ...step,
					})),
				}),
			});
		},
		report(worker, changes = {}) {
			const {now} = owner.state;
			const running = [...scheduler.workers.get(worker)?.tasks ?? []].filter(({state}) => state === 'running').map(({id: task, run}) => ({
				task, run, checkpoint: '', percent: 100, load: 0,
			}));
			owner.dispatch({
				type: 'worker-reported', worker, requestedAt: now, report: {
					startedAtMs: 1, clockMs: clockOffsetMs + now, running, ended: [], ...changes,
				},
			});
		},
		answerStart({task, worker, run = 1}) {
			owner.dispatch({
				type: 'start-answered', worker, task, run, answer: {outcome: 'accepted', clockMs: clockOffsetMs + owner.state.now},
			});
		},
		tick(durationMs) {
			owner.state.now += durationMs;
			owner.dispatch({type: 'ticked'});
			if (scheduler.commit !== undefined) {
				owner.dispatch({type: 'committed', number: scheduler.commit.number});
			}
		},
		advance(durationMs) {
			for (const end = owner.state.now + durationMs; owner.state.now < end;) {
				for (const worker of scheduler.workers.keys()) {
					owner.report(worker);
				}

				owner.tick(reportIntervalMs);
			}
		},
		listWorkersOf: job => owner.started.filter(({task}) => task.startsWith(`${job}.`)).map(({worker}) => worker),
	};

	for (const [index, changes] of workers.entries()) {
		owner.dispatch({type: 'worker-listed', worker: createListing(index + 1, changes)});
	}

	owner.advance(2 * reportIntervalMs);
	owner.effects.splice(0);
	return owner;
}
