import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Transaction} from '@rosemaryquay/core/store/transaction';
import {createJob} from '@rosemaryquay/testing/jobs/create-fleet';
import {StoreModel} from '@rosemaryquay/testing/store-model';
import {AdmissionGate} from './admission-gate.js';
import {createJobKey} from './create-job-key.js';
import {createRefusalKey} from './create-refusal-key.js';
import {JobStore} from './job-store.js';
import {admissionKey} from './keys.js';

const configurationKey = 'configuration';

/** Revision that is later than all in a test. */
const latestRevision = 1_000_000;

/** A record by which no job of the queue `plans` is done in time. */
function encodeRecord(): string {
	return JSON.stringify({
		publishedAtMs: Date.now(),
		term: 1,
		queues: {
			plans: {
				freeCpuMillis: 0, capacityCpuMillis: 1000, waits: [{work: 0, waitMs: 60_000, lateWaitMs: 60_000}], organisations: {},
			},
		},
	});
}

/** A store that can lose the answer to a transaction, carried out at once or when `carryOut` is called. */
function createStore() {
	const model = new StoreModel();
	model.put(configurationKey, '1');
	const condition = {key: configurationKey, modRevision: model.revision};
	const late: Transaction[] = [];
	const state: {fault: 'none' | 'late' | 'answer-lost'; calls: number} = {fault: 'none', calls: 0};
	const store = {
		async transact(transaction: Transaction) {
			state.calls++;
			const {fault} = state;
			state.fault = 'none';
			if (fault === 'late') {
				late.push(transaction);
				return {ok: false, reason: 'outcome-unknown'};
			}

			const value = model.transact(transaction);
			return fault === 'answer-lost' ? {ok: false, reason: 'outcome-unknown'} : {ok: true, value};
		},
		async grantLease(ttlMs: number) {
			return {ok: true, value: model.grantLease(ttlMs, 0)};
		},
	} as unknown as Store;
	const carryOut = (): void => {
		for (const transaction of late.splice(0)) {
			model.transact(transaction);
		}
	};

	return {
		model, state, store, condition, carryOut,
	};
}

async function readType(outcome: Promise<{readonly type: string}>): Promise<string> {
	const {type} = await outcome;
	return type;
}

describe('admission in the transaction that stores a job', () => {
	it('makes one call without overload', async () => {
		const {store, state, condition} = createStore();
		assert.equal(await readType(new JobStore({store}).accept(createJob('a'), {payload: '', condition, deadlineAt: performance.now() + 1000})), 'accepted');
		assert.equal(state.calls, 1);
	});

	it('guards against an entry instance that decides by a former record', async () => {
		const {store, model, condition} = createStore();
		const jobs = new JobStore({store});
		const gate = new AdmissionGate();
		const job = createJob('a');
		assert.equal(gate.decide(job, Date.now()).type, 'admit');
		model.put(admissionKey, encodeRecord());
		const outcome = await jobs.accept(job, {
			payload: '', condition, admissionRevision: gate.revision, deadlineAt: performance.now() + 1000,
		});
		assert.equal(outcome.type, 'admission-changed');
		if (outcome.type === 'admission-changed') {
			gate.adopt(outcome.entry, outcome.storeRevision);
		}

		assert.equal(gate.decide(job, Date.now()).type, 'refuse');
		assert.equal(await readType(jobs.refuse('a', {admissionRevision: gate.revision, deadlineAt: performance.now() + 1000})), 'refused');
		model.transact({compare: [], success: [{type: 'delete', key: admissionKey}], failure: []});
		const refusal = await jobs.refuse('b', {admissionRevision: gate.revision, deadlineAt: performance.now() + 1000});
		assert.equal(refusal.type === 'admission-changed' && refusal.entry, undefined);
		assert.equal(refusal.type, 'admission-changed');
	});

	it('admits by a record that cannot be read', () => {
		const gate = new AdmissionGate();
		gate.adopt({key: admissionKey, value: '{"publishedAtMs":', modRevision: 7}, 7);
		assert.equal(gate.revision, 7);
		assert.equal(gate.decide(createJob('a'), Date.now()).type, 'admit');
	});
});

describe('refusals', () => {
	it('guards against the refusal of a job that is stored', async () => {
		const {store, model} = createStore();
		model.put(createJobKey('a', 'accepted'), '{}');
		assert.equal(await readType(new JobStore({store}).refuse('a', {admissionRevision: 0, deadlineAt: performance.now() + 1000})), 'accepted');
	});

	it('guards against a refused job that runs because an attempt at another entry instance is carried out late', async () => {
		const {
			store, state, model, condition, carryOut,
		} = createStore();
		state.fault = 'late';
		// No time for another attempt.
		const first = await new JobStore({store}).accept(createJob('a'), {payload: '', condition, deadlineAt: performance.now()});
		assert.equal(first.type, 'unknown');
		assert.equal(await readType(new JobStore({store}).refuse('a', {admissionRevision: 0, deadlineAt: performance.now() + 1000})), 'refused');
		carryOut();
		assert.equal(model.entries.has(createJobKey('a', 'accepted')), false);
	});

	it('guards against a refused job that another entry instance stores for a submission from before', async () => {
		const {store, model, condition} = createStore();
		const slow = new JobStore({store});
		const knownRevision = model.revision;
		assert.equal(await readType(new JobStore({store}).refuse('a', {admissionRevision: 0, deadlineAt: performance.now() + 1000})), 'refused');
		const outcome = await slow.accept(createJob('a'), {
			payload: '', condition, knownRevision, deadlineAt: performance.now() + 1000,
		});
		assert.equal(outcome.type, 'refused');
	});

	it('accepts a refused caller that returns, and removes the mark', async () => {
		const {store, model, condition} = createStore();
		const jobs = new JobStore({store});
		await jobs.refuse('a', {admissionRevision: 0, deadlineAt: performance.now() + 1000});
		const outcome = await jobs.accept(createJob('a'), {
			payload: '', condition, knownRevision: latestRevision, deadlineAt: performance.now() + 1000,
		});
		assert.equal(outcome.type, 'accepted');
		assert.equal(model.entries.has(createRefusalKey('a')), false);
	});

	it('guards against an untrue refusal when the answer of the store to it is lost', async () => {
		const {store, state} = createStore();
		state.fault = 'answer-lost';
		const jobs = new JobStore({store});
		assert.equal(await readType(jobs.refuse('a', {admissionRevision: 0, deadlineAt: performance.now() + 1000})), 'refused');
		assert.equal(state.calls, 2);
		state.fault = 'answer-lost';
		assert.equal(await readType(jobs.refuse('b', {admissionRevision: 0, deadlineAt: performance.now()})), 'unknown');
	});

	it('does not decide a job again whose first attempt may have stored it', async () => {
		const {
			store, state, model, condition, carryOut,
		} = createStore();
		state.fault = 'late';
		const accepting = new JobStore({store}).accept(createJob('a'), {payload: '', condition, deadlineAt: performance.now() + 5000});
		model.put(admissionKey, encodeRecord());
		assert.equal(await readType(accepting), 'accepted');
		const {modRevision} = model.entries.get(createJobKey('a', 'accepted')) ?? {};
		carryOut();
		assert.equal(model.entries.get(createJobKey('a', 'accepted'))?.modRevision, modRevision);
	});
});
