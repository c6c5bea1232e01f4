import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {addJob} from '../state/add-job.js';
import {addResources} from '../placement/add-resources.js';
import {measureDominantResource} from '../placement/measure-dominant-resource.js';
import {configurationSchema, type Resources} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {createWorker} from '../state/create-worker.js';
import {jobSchema} from '../state/job-schema.js';
import {type ActiveJob, type ListedWorker, type Scheduler} from '../state/scheduler.js';
import {averageUsage} from './average-usage.js';
import {computeShares} from './compute-shares.js';
import {type JobOutlook} from './job-outlook.js';
import {measureOutlook} from './measure-outlook.js';
import {measureUsage} from './measure-usage.js';
import {orderJobs} from './order-jobs.js';

/** Decisions of a random load; placement happens about 25 times a second, and outlooks are measured again after 1 s. */
const rounds = 150;
const tickMs = 40;

const nothing: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

const listing: ListedWorker = {
	id: 'w', address: '', service: 'planner', availabilityZone: '', rack: '', labels: [], capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0}, leaving: false, instance: 'm', startedAtMs: 1,
};

function createState(): Scheduler {
	const scheduler = createScheduler({
		term: 1, now: 0, configuration: configurationSchema.parse({
			version: 1,
			queues: [{
				name: 'quick', host: 'h', pathPrefix: '/', service: 'planner', maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600,
			}, {
				name: 'large', host: 'h', pathPrefix: '/l', service: 'planner', maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600, priority: 1,
			}],
			pools: [{name: 'planner'}],
			organisations: [{name: 'a', keys: [], weight: 2}, {name: 'b', keys: []}, {name: 'c', keys: [], weight: 0}],
			maximumBodyBytes: 1,
		}),
	});
	const worker = createWorker({...listing, now: 0});
	Object.assign(worker, {listing, acknowledgedOwner: true, recordedAsHolder: true});
	scheduler.workers.set(worker.id, worker);
	return scheduler;
}

/** Rating as `rateJob` computed it before the order was sorted incrementally. */
function rateAnew({objectiveMs, remainingMs, value, waitingWork, isLongRunning, dueAt}: JobOutlook, now: number): number {
	const estimateChance = (leftMs: number): number => leftMs <= 0 ? 0 : Math.min(1, Math.max(0, 1 + (Math.log(leftMs / Math.max(1, remainingMs)) / Math.log(2.5))));
	const timely = estimateChance(objectiveMs - (now - dueAt));
	const late = estimateChance((3 * objectiveMs) - (now - dueAt));
	return isLongRunning ? 1 : value * (timely + (0.2 * (late - timely))) / Math.max(100_000, waitingWork);
}

/** Former order: measures each outlook again after 1 s, and sorts all of them at each decision. */
function orderAnew(scheduler: Scheduler, jobs: readonly ActiveJob[], now: number): ActiveJob[] {
	const rated = jobs.map(job => {
		if (job.outlook !== undefined && now - job.outlook.measuredAt >= 1000) {
			Object.assign(job.outlook, {changes: -1});
		}

		const outlook = measureOutlook(scheduler, job, now);
		const rating = rateAnew(outlook, now);
		return {...outlook, rating, ratingClass: rating === 0 ? 0 : Math.round(Math.log(rating) / Math.log(1.03))};
	});
	const usages = measureUsage(scheduler, now);
	averageUsage(scheduler, usages, now);
	const usage = usages.get('planner')!;
	const waiting = new Map<string, Resources>();
	for (const outlook of rated) {
		waiting.set(outlook.organisation, addResources(waiting.get(outlook.organisation) ?? nothing, outlook.waiting));
	}

	const shares = computeShares(usage, waiting, new Map(scheduler.configuration.organisations.map(organisation => [organisation.name, organisation])));
	const balances = new Map([...shares?.organisations ?? []].map(([name, {used, share}]) => [name, {used: Math.min(used, scheduler.meanUsage.get('planner')?.get(name) ?? used), share}]));
	rated.sort((left, right) => Number(right.isLongRunning) - Number(left.isLongRunning)
		|| Number(left.rating === 0) - Number(right.rating === 0)
		|| left.priority - right.priority || right.ratingClass - left.ratingClass || left.dueAt - right.dueAt);
	const placed: [ordered: ActiveJob[], beyond: ActiveJob[], useless: ActiveJob[]] = [[], [], []];
	for (const outlook of rated) {
		const balance = balances.get(outlook.organisation);
		const isWithinShare = balance === undefined || balance.used < balance.share;
		if (balance !== undefined && isWithinShare) {
			balance.used += measureDominantResource(outlook.waiting, usage.capacity);
		}

		placed[outlook.rating === 0 ? 2 : (isWithinShare || outlook.isLongRunning ? 0 : 1)].push(outlook.job);
	}

	return placed.flat();
}

/** Changes between two decisions: a job that arrives, or the job at a position changes, ends, or moves to the end of the list. */
const changes = fc.array(fc.oneof(
	fc.record({
		type: fc.constant('arrive' as const), queue: fc.constantFrom('quick', 'large'), organisation: fc.constantFrom('a', 'b', 'c', ''), count: fc.integer({min: 1, max: 9}), estimatedMs: fc.constantFrom(100, 300, 300, 2000), longRunning: fc.integer({min: 0, max: 9}).map(value => value === 0),
	}),
	fc.record({type: fc.constantFrom('change' as const, 'end' as const, 'rearrange' as const), position: fc.nat(99)}),
), {maxLength: 3});

type Change = typeof changes extends fc.Arbitrary<Array<infer Item>> ? Item : never;

function applyChange({scheduler, jobs, now, id}: {scheduler: Scheduler; jobs: ActiveJob[]; now: number; id: string}, change: Change): void {
	if (change.type === 'arrive') {
		const {queue, organisation, count, estimatedMs, longRunning} = change;
		addJob({
			scheduler, now, timeOfDay: now, effects: [],
		}, jobSchema.parse({
			id, queue, organisation, service: 'planner', acceptedAtMs: now, steps: [{
				count, cpuMillis: 1000, estimatedMs, longRunning,
			}],
		}));
		jobs.push(scheduler.jobs.get(id)!);
		return;
	}

	const index = change.position % Math.max(1, jobs.length);
	const [job] = jobs.slice(index, index + 1);
	if (job === undefined) {
		return;
	}

	if (change.type === 'change') {
		const task = job.occurrences.get(0)?.[0]?.groups.find(({tasks}) => tasks[0]?.state === 'unassigned')?.tasks[0];
		if (task !== undefined) {
			task.state = 'running';
		}

		job.changes++;
		return;
	}

	jobs.splice(index, 1);
	if (change.type === 'rearrange') {
		jobs.push(job);
	} else {
		scheduler.jobs.delete(job.definition.id);
	}
}

describe('order of waiting jobs', () => {
	it('guards against an order that differs from measuring and sorting all jobs at each decision', () => {
		let contended = 0;
		fc.assert(fc.property(fc.array(changes, {minLength: rounds, maxLength: rounds}), steps => {
			const present = {scheduler: createState(), jobs: [] as ActiveJob[]};
			const former = {scheduler: createState(), jobs: [] as ActiveJob[]};
			let accepted = 0;
			for (const [round, items] of steps.entries()) {
				const now = round * tickMs;
				for (const item of items) {
					accepted++;
					for (const state of [present, former]) {
						applyChange({...state, now, id: `j${accepted}`}, item);
					}
				}

				const order = orderJobs(present.scheduler, present.jobs, now);
				assert.deepEqual(listIds(order), listIds(orderAnew(former.scheduler, former.jobs, now)));
				contended += present.scheduler.contention.size;
			}
		}), {seed: 1, numRuns: 100, includeErrorInReport: true});
		assert.ok(contended > 0, 'the loads include competing organisations');
	});
});

function listIds(jobs: readonly ActiveJob[]): string[] {
	return jobs.map(({definition}) => definition.id);
}
