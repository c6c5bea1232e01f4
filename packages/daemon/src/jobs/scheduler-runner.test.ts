import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Listing, type StoreOutcome, type TransactionResult} from '@rosemaryquay/core/store/transaction';
import {createConfiguration, createJob, createWorkers} from '@rosemaryquay/testing/jobs/create-fleet';
import {createLogger} from '../create-logger.js';
import {createJobKey} from './create-job-key.js';
import {createPayloadKey} from './create-payload-key.js';
import {holdersKey, jobsPrefix, ownerKey} from './keys.js';
import {type OperatorStateCache} from './operator-state-cache.js';
import {type OwnerElection, type OwnershipGrant} from './owner-election.js';
import {type Platform, type StartOrder} from './ports.js';
import {type ProcessSettings} from './process-settings.js';
import {SchedulerRunner} from './scheduler-runner.js';

const workersPrefix = 'workers/';
const waveStatusPrefix = 'status/';

/** Longest wait for a call of the runner; normally it takes some tens of milliseconds. */
const callTimeoutMs = 2000;

/** Time after a late answer in which a call that follows from it would be made. */
const settlingMs = 50;

const [listing] = createWorkers(1);
const job = createJob('a', {steps: [{count: 1, cpuMillis: 1000, estimatedMs: 300}]});
const listings: Readonly<Record<string, Listing>> = {
	[workersPrefix]: {entries: [{key: `${workersPrefix}w1`, value: '', modRevision: 1}], revision: 1},
	[jobsPrefix]: {entries: [{key: createJobKey('a', 'accepted'), value: JSON.stringify(job), modRevision: 1}], revision: 1},
};

/** Creates a runner with one worker and one job, in a process that is the owner all the while: at first by the grant of the runner, later by another one. */
function createRunner(calls: Partial<Store>, options: {onListing?: (prefix: string) => void; grant?: OwnershipGrant; entries?: Readonly<Record<string, Listing>>} = {}) {
	const {grant = {term: 1, fencingToken: 1}, entries = listings} = options;
	const starts: StartOrder[] = [];
	const stepDowns: string[] = [];
	const store: Partial<Store> = {
		list: async prefix => ({ok: true, value: entries[prefix] ?? {entries: [], revision: 1}}),
		transact: async () => ({ok: true, value: {succeeded: true, revision: 2, entries: []}}),
		watch: () => () => undefined,
	};
	const platform = {
		store: {
			...store,
			...calls,
			async list(prefix: string) {
				options.onListing?.(prefix);
				return prefix === createPayloadKey('a') && calls.list !== undefined ? calls.list(prefix) : store.list?.(prefix);
			},
		},
		workers: {
			async start(order: StartOrder) {
				starts.push(order);
				return {outcome: 'accepted', clockMs: 1};
			},
			requestReport: async ({worker}: {worker: string}) => worker === 'silent'
				? {ok: false, outcome: 'unanswered'}
				: ({
					ok: true, report: {
						startedAtMs: 1, clockMs: 1, running: [], ended: [],
					},
				}),
		},
		instances: {list: async () => ({instances: [], isComplete: true})},
		operatorFormat: {waveStatusPrefix, decodeCompletedWave: () => undefined},
		registrationFormat: {prefix: workersPrefix, decodeId: (key: string) => key.slice(workersPrefix.length), decode: () => listing},
	} as unknown as Platform;
	const state = {
		configuration: createConfiguration(), revision: 1, withdrawnZones: [], waves: [],
	};
	const runner = new SchedulerRunner({
		settings: {instance: 'entry-1', bounds: {longestLeaseMs: 10_000, stopMs: 400, earlyMs: 250}} as unknown as ProcessSettings,
		platform,
		logger: createLogger({name: 'test', level: 'error'}),
		operatorCache: {state, subscribe: () => () => undefined} as unknown as OperatorStateCache,
		election: {
			isOwner: true,
			stepDown(reason: string) {
				stepDowns.push(reason);
			},
		} as unknown as OwnerElection,
		grant,
	});
	return {runner, starts, stepDowns};
}

async function startRunner(calls: Partial<Store>) {
	const created = createRunner(calls);
	await created.runner.start();
	return created;
}

/** A call that is answered later. */
function createLateCall<Value>() {
	const {promise: answered, resolve: answer} = createPromise<Value>();
	const {promise: called, resolve: markCalled} = createPromise<void>();
	return {
		answer,
		async call(): Promise<StoreOutcome<Value>> {
			markCalled();
			return {ok: true, value: await answered};
		},
		async waitForCall(): Promise<void> {
			const isCalled = await Promise.race([called.then(() => true), delay(callTimeoutMs, false, {ref: false})]);
			assert.ok(isCalled, 'The runner made no call');
		},
	};
}

function createPromise<Value>() {
	let resolve: (value: Value) => void = () => undefined;
	const promise = new Promise<Value>(_resolve => {
		resolve = _resolve;
	});
	return {promise, resolve};
}

describe('an ownership that has ended, in a process that has become the owner again', () => {
	it('guards against sending a start whose payload arrives afterwards', async () => {
		const read = createLateCall<Listing>();
		const {runner, starts} = await startRunner({list: read.call});
		await read.waitForCall();
		runner.stop();
		read.answer({entries: [{key: createPayloadKey('a'), value: 'payload', modRevision: 1}], revision: 1});
		await delay(settlingMs);
		assert.deepEqual(starts.map(({owner, run}) => ({fence: owner.fencingToken, run})), []);
	});

	it('guards against ending the later ownership by a refused write of the earlier one', async () => {
		const write = createLateCall<TransactionResult>();
		const {runner, stepDowns} = await startRunner({transact: write.call});
		await write.waitForCall();
		runner.stop();
		write.answer({succeeded: false, revision: 3, entries: [{key: ownerKey, value: 'entry-1', modRevision: 3}]});
		await delay(settlingMs);
		assert.deepEqual(stepDowns, []);
	});

	it('guards against following the store for ever when the ownership ends while the schedule is read', async () => {
		const watched: string[] = [];
		const {runner} = createRunner({
			watch(prefix) {
				watched.push(prefix);
				return () => undefined;
			},
		}, {
			// The last part that is read, so that all parts are being read at the end of the ownership.
			onListing(prefix) {
				if (prefix === waveStatusPrefix) {
					runner.stop();
				}
			},
		});
		await runner.start();
		await delay(settlingMs);
		assert.deepEqual(watched, []);
	});

	it('steps down after a refused write while the ownership lasts', async () => {
		const write = createLateCall<TransactionResult>();
		const {runner, stepDowns} = await startRunner({transact: write.call});
		await write.waitForCall();
		write.answer({succeeded: false, revision: 3, entries: [{key: ownerKey, value: 'entry-2', modRevision: 3}]});
		await delay(settlingMs);
		runner.stop();
		assert.ok(stepDowns.length > 0);
	});
});

describe('jobs that were accepted while the schedule had no owner', () => {
	const holder = {
		id: 'silent', address: '10.0.0.9:80', instance: '', service: job.service, boundedStartedAtMs: 1,
	};
	const payloadKey = createPayloadKey('a');
	const entries = {
		...listings,
		[holdersKey]: {entries: [{key: holdersKey, value: JSON.stringify([holder]), modRevision: 1}], revision: 1},
		[payloadKey]: {entries: [{key: payloadKey, value: 'text', modRevision: 1}], revision: 1},
	};
	for (const {vacantSince, isStarted} of [{vacantSince: 0, isStarted: true}, {vacantSince: 1, isStarted: true}, {vacantSince: 2, isStarted: false}, {vacantSince: undefined, isStarted: false}]) {
		it(`guards against a wait for a silent worker that cannot run them, and against a second run: accepted at revision 1, vacant since ${vacantSince ?? 'an unknown one'}`, async () => {
			const {runner, starts} = createRunner({}, {grant: {term: 2, fencingToken: 9, vacantSince}, entries});
			await runner.start();
			await delay(200);
			runner.stop();
			assert.equal(starts.length > 0, isStarted);
		});
	}
});
