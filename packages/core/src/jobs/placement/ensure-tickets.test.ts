import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type z} from 'zod';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type SchedulerEvent} from '../state/event.js';
import {jobSchema} from '../state/job-schema.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';

type StepChanges = Partial<z.input<typeof jobSchema>['steps'][number]>;

const configuration = configurationSchema.parse({
	version: 1,
	queues: [{
		name: 'advised', host: 'jobs.example', pathPrefix: '/advised/', service: 'planner', maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600, ticketRule: {decideMs: 100, eachMs: 2, validMs: 3000},
	}],
	pools: [{name: 'planner'}],
	organisations: [{name: 'north', keys: ['key-north']}],
	maximumBodyBytes: 65_536,
});

const mostNamed = 100;

/** Creates an owner with idle workers, and a service that grants tickets for those at the given positions and takes 100 ms and 2 ms for each worker. */
function createOwner(count: number, allowed: readonly number[], options: {unansweredRequests?: number} = {}) {
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	const started: Array<{task: string; worker: string}> = [];
	const requests: string[][] = [];
	const answers: Array<{at: number; event: SchedulerEvent}> = [];
	const allowedIds = new Set(allowed.map(position => `w${position}`));
	const state = {now: 0, unanswered: options.unansweredRequests ?? 0, freeAt: 0};
	const dispatch = (event: SchedulerEvent): void => {
		for (const effect of reduceScheduler(scheduler, event, {now: state.now, timeOfDay: state.now})) {
			if (effect.type === 'start') {
				started.push({task: effect.task, worker: effect.worker});
				dispatch({
					type: 'start-answered', worker: effect.worker, task: effect.task, run: effect.run, answer: {outcome: 'accepted', clockMs: 5000 + state.now},
				});
			} else if (effect.type === 'ask-tickets') {
				requests.push([...effect.workers]);
				state.freeAt = Math.max(state.now, state.freeAt) + 100 + (2 * effect.workers.length);
				state.unanswered--;
				answers.push({
					at: state.freeAt, event: {
						type: 'tickets-answered', call: effect.call,
						answer: state.unanswered >= 0 ? {outcome: 'unanswered'} : {outcome: 'decided', tickets: effect.workers.filter(id => allowedIds.has(id)).map(worker => ({worker, value: `ticket-${worker}`})), validMs: 3000},
					},
				});
			}
		}
	};

	const advance = (durationMs: number): void => {
		for (const end = state.now + durationMs; state.now < end;) {
			state.now += 50;
			for (const {event} of answers.splice(0).filter(answer => {
				if (answer.at > state.now) {
					answers.push(answer);
				}

				return answer.at <= state.now;
			})) {
				dispatch(event);
			}

			for (const [id, {tasks}] of scheduler.workers) {
				dispatch({
					type: 'worker-reported', worker: id, requestedAt: state.now, report: {
						startedAtMs: 1, clockMs: 5000 + state.now, ended: [], running: [...tasks].map(({id: task, run}) => ({
							task, run, checkpoint: '', percent: 100, load: 0,
						})),
					},
				});
			}

			dispatch({type: 'ticked'});
			if (scheduler.commit !== undefined) {
				dispatch({type: 'committed', number: scheduler.commit.number});
			}
		}
	};

	const submit = (id: string, step: StepChanges = {}): void => {
		dispatch({
			type: 'job-accepted',
			job: jobSchema.parse({
				id, queue: 'advised', service: 'planner', organisation: 'north', acceptedAtMs: state.now, maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600,
				steps: [{
					count: 1, cpuMillis: 1000, memoryMb: 64, estimatedMs: 600, ...step,
				}],
			}),
		});
	};

	for (let position = 0; position < count; position++) {
		dispatch({
			type: 'worker-listed',
			worker: {
				id: `w${position}`, address: `10.0.0.${position}:80`, service: 'planner', availabilityZone: 'east', rack: `r${Math.floor(position / 8)}`, labels: ['a'], capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0}, leaving: false, instance: `m${position}`, startedAtMs: 1,
			},
		});
	}

	advance(200);
	const startedOf = (job: string) => started.filter(({task}) => task.startsWith(`${job}.`)).map(({worker}) => worker);
	return {
		scheduler, advance, submit, requests, startedOf,
	};
}

describe('tickets for a step that only some workers may run', () => {
	for (const count of [1, 29, 30, 31, 33, 60, 99, 100, 101, 129, 130, 131, 300]) {
		it(`guards against a worker that is never asked for: the last of ${count}`, () => {
			const {advance, submit, requests, startedOf} = createOwner(count, [count - 1]);
			submit('a');
			advance(3000);
			assert.deepEqual(startedOf('a'), [`w${count - 1}`]);
			assert.ok(requests.every(({length}) => length <= mostNamed));
			assert.equal(new Set(requests.flat()).size, requests.flat().length, 'no worker is asked for twice before the others');
		});
	}

	it('guards against the search for allowed workers by each job anew', () => {
		const {advance, submit, requests, startedOf} = createOwner(130, [129]);
		submit('a');
		advance(3000);
		requests.splice(0);
		submit('b');
		advance(400);
		assert.deepEqual(startedOf('b'), ['w129']);
		assert.equal(requests.length, 1);
	});

	/** What keeps the step from the allowed workers among the first. */
	const obstacles: Readonly<Record<string, {occupant?: StepChanges; step: StepChanges; allowed: readonly number[]}>> = {
		'have no room': {occupant: {cpuMillis: 15_500, longRunning: true}, step: {}, allowed: [1, 70]},
		'have reached its anti-affinity': {step: {count: 2, antiAffinity: 1}, allowed: [1, 70]},
		'are too few for its gang': {step: {count: 3, gang: true, cpuMillis: 9000}, allowed: [1, 40, 70]},
	};
	for (const [obstacle, {occupant, step, allowed}] of Object.entries(obstacles)) {
		it(`guards against further allowed workers that are never asked for while the first ones ${obstacle}`, () => {
			const {advance, submit, startedOf} = createOwner(71, allowed);
			if (occupant !== undefined) {
				submit('occupant', occupant);
				advance(1000);
				assert.deepEqual(startedOf('occupant'), ['w1']);
			}

			submit('a', step);
			advance(3000);
			assert.equal(startedOf('a').length, step.count ?? 1);
			assert.ok(startedOf('a').includes('w70'));
		});
	}

	it('guards against taking a request without an answer for a refusal', () => {
		const {advance, submit, startedOf} = createOwner(33, [1], {unansweredRequests: 2});
		submit('a');
		advance(2000);
		assert.deepEqual(startedOf('a'), ['w1']);
	});

	it('guards against a refusal of one incarnation that is applied to the next, and against one for ever', () => {
		const {scheduler, advance, submit, requests} = createOwner(2, []);
		submit('a');
		advance(1000);
		assert.deepEqual(requests.splice(0), [['w0', 'w1']]);
		const worker = scheduler.workers.get('w1');
		const [step] = scheduler.jobs.get('a')?.occurrences.get(0) ?? [];
		assert.ok(worker && step?.tickets);
		step.tickets.refused.set('w1', {workerStartedAtMs: 0, refusedAt: 1000, count: 1});
		advance(1000);
		assert.deepEqual(requests.splice(0), [['w1']]);
		advance(11_000);
		assert.deepEqual([...new Set(requests.flat())].toSorted(), ['w0', 'w1']);
	});
});
