import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addJob} from '../state/add-job.js';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {createWorker} from '../state/create-worker.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {jobSchema} from '../state/job-schema.js';
import {measureOutlook} from '../order/measure-outlook.js';
import {updateAdmission} from './update-admission.js';

const now = 10_000;
const cpuMillis = 4000;

/** An owner of the term 2 with one worker and 100 urgent jobs of 8 core-seconds, which occupy it for 200 s. */
function createContext(): ReducerContext {
	const queues = ['watches', 'plans'].map((name, priority) => ({
		name, host: '', pathPrefix: `/${name}/`, service: 'planner', priority, stretch: 2, targetLatencyMs: 30_000,
	}));
	const configuration = configurationSchema.parse({
		version: 1, queues, pools: [{name: 'planner'}], organisations: [], maximumBodyBytes: 1,
	});
	const scheduler = createScheduler({
		term: 2, now: 0, configuration, isAdmissionEmpty: true,
	});
	scheduler.instanceListRequestedAt = now - 1000;
	const worker = createWorker({
		id: 'w1', address: '', instance: 'm1', now: 0,
	});
	worker.listing = {
		id: 'w1', address: '', service: 'planner', availabilityZone: '', rack: '', labels: [], capacity: {cpuMillis, memoryMb: 0, accelerators: 0}, leaving: false, instance: 'm1', startedAtMs: 1,
	};
	worker.acknowledgedOwner = true;
	worker.used = {cpuMillis, memoryMb: 0, accelerators: 0};
	scheduler.workers.set('w1', worker);
	const context: ReducerContext = {
		scheduler, now, timeOfDay: now, effects: [],
	};
	for (let index = 0; index < 100; index++) {
		addJob(context, jobSchema.parse({
			id: `j${index}`, queue: 'watches', service: 'planner', organisation: '', acceptedAtMs: now, steps: [{count: 4, cpuMillis: 2000, estimatedMs: 1000}],
		}));
	}

	for (const job of scheduler.jobs.values()) {
		measureOutlook(scheduler, job, now).rating = 1;
	}

	return context;
}

function getWorker({scheduler}: ReducerContext) {
	const worker = scheduler.workers.get('w1');
	assert.ok(worker !== undefined);
	return worker;
}

describe('updateAdmission', () => {
	it('publishes the waits of queues whose jobs are placed after those of higher priority', () => {
		const record = updateAdmission(createContext());
		assert.deepEqual([record?.publishedAtMs, record?.term], [now, 2]);
		// Jobs of the queue `watches` are of use for 95 s, so the wait for them is no longer than that.
		assert.deepEqual(record?.queues, [{
			name: 'plans', freeCpuMillis: 0, capacityCpuMillis: cpuMillis, organisations: [{name: '', waitMs: 95_000 - 2500, isBeyondShare: false}],
		}]);
	});

	const uncertain: ReadonlyArray<{fault: string; change: (context: ReducerContext) => void}> = [
		{
			fault: 'in the first 3 s of a term', change({scheduler}) {
				Object.assign(scheduler, {tookOverAt: now - 2900});
			},
		},
		{
			fault: 'while the process gets no processor time', change({scheduler}) {
				scheduler.resumedAt = now - 2900;
			},
		},
		{
			fault: 'while a worker may run unknown tasks', change(context) {
				getWorker(context).unreconciledUntil = now + 1;
			},
		},
		{
			fault: 'before the list of instances is settled', change({scheduler}) {
				scheduler.instanceListRequestedAt = Number.NEGATIVE_INFINITY;
			},
		},
		{
			fault: 'after the jobs were cancelled', change({scheduler}) {
				for (const job of scheduler.jobs.values()) {
					job.cancelled = true;
				}
			},
		},
		{
			fault: 'while moves under way will serve the jobs in time', change({scheduler}) {
				for (let index = 0; index < 20; index++) {
					scheduler.instances.set(`spare${index}`, {
						id: `spare${index}`, pool: 'reserve', state: 'moving', availabilityZone: '', capacity: {cpuMillis, memoryMb: 0, accelerators: 0}, worker: '',
					});
					scheduler.moves.set(`spare${index}`, {
						instance: `spare${index}`, pool: 'planner', incarnation: undefined, state: 'moving', requestedAt: now, acceptedAt: now,
					});
				}
			},
		},
	];
	for (const {fault, change} of uncertain) {
		it(`guards against refusals ${fault}`, () => {
			const context = createContext();
			change(context);
			assert.equal(updateAdmission(context), undefined);
		});
	}

	it('guards against a refusal while a worker is free', () => {
		const context = createContext();
		getWorker(context).used = {cpuMillis: 1000, memoryMb: 0, accelerators: 0};
		assert.equal(updateAdmission(context)?.queues[0]?.freeCpuMillis, 3000);
	});

	it('guards against a record of a former owner that stays, and against writes of an empty record that is stored', () => {
		const context = createContext();
		const {admission, jobs} = context.scheduler;
		jobs.clear();
		admission.isStoredEmpty = false;
		assert.deepEqual(updateAdmission(context)?.queues, []);
		assert.equal(updateAdmission(context), undefined);
		Object.assign(admission, {isPending: false, isStoredEmpty: true});
		assert.equal(updateAdmission(context), undefined);
	});
});
