import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Transaction} from '@rosemaryquay/core/store/transaction';
import {createJob} from '@rosemaryquay/testing/jobs/create-fleet';
import {StoreModel} from '@rosemaryquay/testing/store-model';
import {createEndedJobKey} from './create-ended-job-key.js';
import {createJobKey} from './create-job-key.js';
import {JobStore} from './job-store.js';
import {admissionKey, ownerKey} from './keys.js';

const configurationKey = 'configuration';
const job = createJob('a');
const jobKey = createJobKey('a', 'accepted');

type Fault = 'none' | 'late' | 'answer-lost' | 'unavailable';

/** A store with an owner of the schedule. It can lose the answer to a transaction, carried out at once or when `carryOut` is called. */
class FaultyStore {
	readonly model = new StoreModel();
	readonly transactions: Transaction[] = [];
	/** Faults of the next transactions. */
	readonly faults: Fault[] = [];
	/** `prepare` is called before each transaction. */
	readonly hooks: {prepare?: () => void} = {};
	readonly #late: Transaction[] = [];

	constructor() {
		this.model.put(configurationKey, '1');
		this.model.put(ownerKey, 'entry-1');
	}

	/** Publishes a record as the present owner; by one that is overloaded, no job of the queue `plans` is of use when it is done. */
	publish({isOverloaded = true, ageMs = 0}: {isOverloaded?: boolean; ageMs?: number} = {}): void {
		const queues = isOverloaded
			? [{
				name: 'plans', freeCpuMillis: 0, capacityCpuMillis: 1000, organisations: [{name: 'north', waitMs: 60_000, isBeyondShare: false}],
			}]
			: [];
		this.model.put(admissionKey, JSON.stringify({
			publishedAtMs: Date.now() - ageMs, term: 1, queues, fence: this.model.entries.get(ownerKey)?.modRevision,
		}));
	}

	/** Carries out the late transactions. Each call carries out all of them again, as if they arrived only then. */
	carryOut(): void {
		for (const transaction of this.#late) {
			this.model.transact(transaction);
		}
	}

	get isStored(): boolean {
		return this.model.entries.has(jobKey);
	}

	/** Creates an entry instance. */
	createInstance(): JobStore {
		const transact = async (transaction: Transaction) => {
			this.hooks.prepare?.();
			this.transactions.push(transaction);
			const fault = this.faults.shift() ?? 'none';
			if (fault === 'late') {
				this.#late.push(transaction);
			}

			const value = fault === 'none' || fault === 'answer-lost' ? this.model.transact(transaction) : undefined;
			return fault === 'none' ? {ok: true, value} : {ok: false, reason: fault === 'unavailable' ? 'unavailable' : 'outcome-unknown'};
		};

		return new JobStore({store: {transact} as unknown as Store});
	}

	async submit(instance: JobStore, options: {job?: Job; limitMs?: number; isAbandoned?: () => boolean} = {}): Promise<string> {
		const {limitMs = 1000, isAbandoned} = options;
		const condition = {key: configurationKey, modRevision: this.model.entries.get(configurationKey)?.modRevision ?? 0};
		const {type} = await instance.accept(options.job ?? job, {
			payload: '', condition, deadlineAt: performance.now() + limitMs, ...(isAbandoned !== undefined && {isAbandoned}),
		});
		return type;
	}
}

describe('submissions without overload', () => {
	it('guards against more than one call and one compared row', async () => {
		const store = new FaultyStore();
		assert.equal(await store.submit(store.createInstance()), 'accepted');
		assert.equal(store.transactions.length, 1);
		assert.deepEqual(store.transactions[0]?.compare.filter(({key}) => key === admissionKey), [{key: admissionKey, modRevision: 0}]);
	});

	it('makes one more call after the record has changed, and none afterwards', async () => {
		const store = new FaultyStore();
		store.publish({isOverloaded: false});
		const instance = store.createInstance();
		assert.equal(await store.submit(instance), 'accepted');
		assert.equal(await store.submit(instance, {job: createJob('b')}), 'accepted');
		assert.equal(store.transactions.length, 3);
	});
});

describe('submissions under overload', () => {
	it('guards against an instance that admits by a former record', async () => {
		const store = new FaultyStore();
		const instance = store.createInstance();
		store.publish({isOverloaded: false});
		assert.equal(await store.submit(instance, {job: createJob('b')}), 'accepted');
		store.publish();
		assert.equal(await store.submit(instance), 'refused');
		assert.equal(store.isStored, false);
	});

	it('guards against an instance that refuses by a former record', async () => {
		const store = new FaultyStore();
		const instance = store.createInstance();
		store.publish();
		assert.equal(await store.submit(instance), 'refused');
		store.publish({isOverloaded: false});
		assert.equal(await store.submit(instance), 'accepted');
	});

	const invalid: ReadonlyArray<{fault: string; prepare: (store: FaultyStore) => void}> = [
		{
			fault: 'a former owner, after a takeover', prepare(store) {
				store.publish();
				store.model.put(ownerKey, 'entry-2');
			},
		},
		{
			fault: 'a former owner, without a present one', prepare(store) {
				store.publish();
				store.model.transact({compare: [], success: [{type: 'delete', key: ownerKey}], failure: []});
			},
		},
		{
			fault: 'an owner that no longer publishes', prepare(store) {
				store.publish({ageMs: 2501});
			},
		},
		{
			fault: 'an owner whose clock is far ahead', prepare(store) {
				store.publish({ageMs: -5000});
			},
		},
		{
			fault: 'another program, which cannot be read', prepare(store) {
				store.model.put(admissionKey, '{"publishedAtMs":');
			},
		},
	];
	for (const {fault, prepare} of invalid) {
		it(`guards against refusals by the record of ${fault}, on instances that know it and on those that don't`, async () => {
			const store = new FaultyStore();
			const former = store.createInstance();
			store.publish();
			assert.equal(await store.submit(former, {job: createJob('b')}), 'refused');
			prepare(store);
			assert.equal(await store.submit(former), 'accepted');
			assert.equal(await store.submit(store.createInstance(), {job: createJob('c')}), 'accepted');
		});
	}

	for (const key of [jobKey, createEndedJobKey('a')]) {
		it(`guards against the refusal of a job that is stored as ${key}`, async () => {
			const store = new FaultyStore();
			store.publish();
			store.model.put(key, '{}');
			const instance = store.createInstance();
			assert.equal(await store.submit(instance), 'accepted');
			assert.equal(await store.submit(instance), 'accepted');
		});
	}
});

describe('attempts that the store carries out late', () => {
	it('guards against a refused job that runs: the transaction of another instance arrives after the refusal', async () => {
		const store = new FaultyStore();
		store.faults.push('late');
		assert.equal(await store.submit(store.createInstance(), {limitMs: 0}), 'unknown');
		store.publish();
		assert.equal(await store.submit(store.createInstance()), 'refused');
		store.carryOut();
		assert.equal(store.isStored, false);
		store.publish({isOverloaded: false});
		store.carryOut();
		assert.equal(store.isStored, false);
	});

	it('guards against the refusal of a job whose first attempt was carried out', async () => {
		const store = new FaultyStore();
		store.faults.push('answer-lost');
		const accepting = store.submit(store.createInstance());
		store.publish();
		assert.equal(await accepting, 'accepted');
	});

	it('guards against an unknown outcome where the first attempt can\'t be carried out any more', async () => {
		const store = new FaultyStore();
		store.faults.push('late');
		const accepting = store.submit(store.createInstance());
		store.publish();
		assert.equal(await accepting, 'refused');
		store.carryOut();
		assert.equal(store.isStored, false);
	});

	it('guards against an unknown outcome after the record changed and the store became unavailable', async () => {
		const store = new FaultyStore();
		store.faults.push('late', 'none', ...Array.from({length: 20}, () => 'unavailable' as const));
		const accepting = store.submit(store.createInstance());
		store.publish({isOverloaded: false});
		assert.equal(await accepting, 'unavailable');
		store.carryOut();
		assert.equal(store.isStored, false);
	});

	it('guards against an instance that stores a job by a later record after its caller gave up and was refused elsewhere', async () => {
		const store = new FaultyStore();
		store.faults.push('unavailable');
		let isAbandoned = false;
		const held = store.submit(store.createInstance(), {isAbandoned: () => isAbandoned});
		store.publish();
		assert.equal(await store.submit(store.createInstance()), 'refused');
		isAbandoned = true;
		store.publish({isOverloaded: false});
		assert.equal(await held, 'unavailable');
		assert.equal(store.isStored, false);
	});

	it('guards against a submission that never ends while the record keeps changing', async () => {
		const store = new FaultyStore();
		store.hooks.prepare = () => {
			store.publish({isOverloaded: false});
		};

		assert.equal(await store.submit(store.createInstance(), {limitMs: 20}), 'unavailable');
	});

	it('guards against a refusal by a configuration that is no longer in force', async () => {
		const store = new FaultyStore();
		store.publish();
		const instance = store.createInstance();
		assert.equal(await store.submit(instance), 'refused');
		store.hooks.prepare = () => {
			store.model.put(configurationKey, '2');
		};

		assert.equal(await store.submit(instance), 'configuration-changed');
	});
});
