import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type SchedulerEffect} from '../state/effect.js';
import {type SchedulerEvent, type WorkerReport} from '../state/event.js';
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

/** Creates an owner whose only worker is idle and keeps the end of a task that is stored and not acknowledged yet. */
function createOwnerWithStoredEnd() {
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	const effects: SchedulerEffect[] = [];
	const state = {now: 0};
	const dispatch = (event: SchedulerEvent): void => {
		effects.push(...reduceScheduler(scheduler, event, {now: state.now, timeOfDay: state.now}));
	};

	const advance = (durationMs: number): void => {
		state.now += durationMs;
		dispatch({type: 'ticked'});
		if (scheduler.commit !== undefined) {
			dispatch({type: 'committed', number: scheduler.commit.number});
		}
	};

	/** Tasks that the worker has accepted. */
	const accepted = new Set<string>();
	const report = (contents: Partial<WorkerReport> = {}): void => {
		dispatch({
			type: 'worker-reported', worker: 'w1', requestedAt: state.now, report: {
				startedAtMs: 1, clockMs: 5000 + state.now, ended: [], ...contents, running: [...accepted].map(task => ({
					task, run: 1, checkpoint: '', percent: 10, load: 0,
				})),
			},
		});
	};

	const submit = (id: string, count: number): void => {
		dispatch({
			type: 'job-accepted', job: jobSchema.parse({
				id, queue: 'plans', service: 'planner', organisation: '', acceptedAtMs: 0, maximumAttempts: 3, steps: [{count, cpuMillis: 100, estimatedMs: 100}],
			}),
		});
	};

	const answerStart = (task: string): void => {
		accepted.add(task);
		dispatch({
			type: 'start-answered', worker: 'w1', task, run: 1, answer: {outcome: 'accepted', clockMs: 5000 + state.now},
		});
	};

	dispatch({
		type: 'worker-listed', worker: {
			id: 'w1', address: '10.0.0.1:80', service: 'planner', availabilityZone: 'east', rack: 'r1', labels: [], capacity: {cpuMillis: 100_000, memoryMb: 1000, accelerators: 0}, leaving: false, instance: 'm1', startedAtMs: 1,
		},
	});
	advance(5);
	report();
	advance(50);
	submit('a', 1);
	advance(5);
	answerStart('a.0.0.0');
	advance(50);
	accepted.clear();
	report({
		ended: [{
			number: 1, task: 'a.0.0.0', run: 1, end: 'done', checkpoint: '',
		}],
	});
	advance(50);
	const acknowledgements = (): number[] => effects.splice(0).filter(effect => effect.type === 'report').map(({storedEnd}) => storedEnd);
	acknowledgements();
	return {
		scheduler, accepted, dispatch, advance, report, submit, answerStart, acknowledgements,
	};
}

describe('acknowledgements of ends to a worker that may have restarted under its id', () => {
	for (const count of [1, 12, 30, 100]) {
		it(`guards against deleting ends of the next incarnation: ${count} start orders precede the acknowledgement`, () => {
			const {advance, report, submit, answerStart, acknowledgements} = createOwnerWithStoredEnd();
			submit('b', count);
			advance(5);
			assert.deepEqual(acknowledgements(), [0]);
			// All answers but one confirm that the same incarnation has carried the orders out.
			for (let index = 1; index < count; index++) {
				answerStart(`b.0.0.${index}`);
			}

			report();
			advance(5);
			advance(200);
			assert.deepEqual(acknowledgements(), [0]);
			answerStart('b.0.0.0');
			report();
			advance(5);
			assert.deepEqual(acknowledgements(), [1]);
		});
	}

	it('guards against deleting ends of an incarnation that the store lists before its first report', () => {
		const {scheduler, dispatch, advance, submit, answerStart, report, acknowledgements} = createOwnerWithStoredEnd();
		const listing = scheduler.workers.get('w1')?.listing;
		assert.ok(listing);
		submit('b', 1);
		advance(5);
		answerStart('b.0.0.0');
		dispatch({type: 'report-failed', worker: 'w1', outcome: 'unanswered'});
		advance(200);
		acknowledgements();
		dispatch({type: 'worker-listed', worker: {...listing, startedAtMs: 60}});
		// A report that the earlier incarnation has sent before its end arrives after the new entry.
		report();
		advance(5);
		assert.deepEqual(acknowledgements(), [0]);
	});

	it('guards against ends that are never acknowledged because an order is never answered', () => {
		const {accepted, dispatch, advance, submit, report, acknowledgements} = createOwnerWithStoredEnd();
		submit('b', 1);
		advance(5);
		accepted.add('b.0.0.0');
		for (let order = 0; order < 3; order++) {
			advance(400);
			report();
			dispatch({
				type: 'start-answered', worker: 'w1', task: 'b.0.0.0', run: 1, answer: {outcome: 'unanswered'},
			});
		}

		advance(200);
		report();
		advance(200);
		assert.ok(acknowledgements().includes(1));
	});
});
