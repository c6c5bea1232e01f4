import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {type Progress} from '@rosemaryquay/core/jobs/state/job-schema';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Transaction} from '@rosemaryquay/core/store/transaction';
import {StoreModel} from '@rosemaryquay/testing/store-model';
import {createLogger} from '../create-logger.js';
import {createPayloadKey} from './create-payload-key.js';
import {createProgressKey} from './create-progress-key.js';
import {
	admissionKey, ownerKey, summaryKey, viewKey,
} from './keys.js';
import {type EffectContext, performSchedulerEffect} from './perform-scheduler-effect.js';
import {PayloadCache} from './payload-cache.js';
import {type Platform, type WorkerCalls} from './ports.js';

/** Key of occurrence 0, step 0 in stored progress. */
const firstStep = '0.0';

/** Creates an effect context whose store can delay transactions: it leaves them unanswered and executes them later. */
function createContext() {
	const model = new StoreModel();
	model.put(ownerKey, 'entry-1');
	const delayed: Transaction[] = [];
	const transactions: Transaction[] = [];
	const events: SchedulerEvent[] = [];
	const state = {isDelaying: false};
	const store: Pick<Store, 'transact'> = {
		async transact(transaction) {
			transactions.push(transaction);
			if (state.isDelaying) {
				delayed.push(transaction);
				return {ok: false, reason: 'outcome-unknown'};
			}

			return {ok: true, value: model.transact(transaction)};
		},
	};
	const context: EffectContext = {
		platform: {store} as unknown as Platform,
		logger: createLogger({name: 'test', level: 'error'}),
		grant: {term: 1, fencingToken: model.revision},
		instance: 'entry-1',
		payloads: new PayloadCache({store: store as Store}),
		commitGuard: {revision: 0},
		isOwner: () => true,
		isStartPending: () => true,
		dispatch(event) {
			events.push(event);
		},
		stepDown(reason) {
			assert.fail(reason);
		},
	};
	const commit = async (number: number, positions: number[]): Promise<void> => {
		const progress: Progress = {done: {[firstStep]: positions}, failures: {}};
		const previousCount = events.length;
		performSchedulerEffect({type: 'commit', number, writes: [{type: 'progress', job: 'a', progress}]}, context);
		while (events.length === previousCount) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	};

	const executeDelayed = (): void => {
		for (const transaction of delayed.splice(0)) {
			model.transact(transaction);
		}
	};

	const readProgress = (): unknown => JSON.parse(model.entries.get(createProgressKey('a'))?.value ?? 'null');
	const readKey = (key: string): string | undefined => model.entries.get(key)?.value;
	return {
		context, model, state, events, commit, executeDelayed, readProgress, readKey, transactions,
	};
}

describe('commits that the store executes late', () => {
	it('prevents an older commit from replacing a newer one', async () => {
		const {state, commit, executeDelayed, readProgress, events} = createContext();
		state.isDelaying = true;
		await commit(1, [0]);
		state.isDelaying = false;
		await commit(2, [0, 1, 2]);
		executeDelayed();
		assert.deepEqual(readProgress(), {done: {[firstStep]: [0, 1, 2]}, failures: {}});
		assert.deepEqual(events.map(({type}) => type), ['commit-failed', 'committed']);
	});

	it('keeps committing after a commit that was executed but not answered', async () => {
		const {state, commit, executeDelayed, readProgress, events} = createContext();
		state.isDelaying = true;
		await commit(1, [0]);
		state.isDelaying = false;
		executeDelayed();
		await commit(2, [0, 1]);
		await commit(3, [0, 1, 2]);
		assert.deepEqual(readProgress(), {done: {[firstStep]: [0, 1, 2]}, failures: {}});
		assert.deepEqual(events.map(({type}) => type), ['commit-failed', 'committed', 'committed']);
	});
});

describe('publication of the admission record', () => {
	const admission = {publishedAtMs: 1, term: 1, queues: []};

	it('guards against a call of its own, and names the owner in the record', async () => {
		const {context, model, events} = createContext();
		const {revision} = model;
		performSchedulerEffect({type: 'publish-summary', queues: {}, admission}, context);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		assert.deepEqual(JSON.parse(model.entries.get(admissionKey)?.value ?? ''), {...admission, fence: context.grant.fencingToken});
		assert.equal(model.entries.get(summaryKey)?.modRevision, revision + 1);
		assert.deepEqual(events, [{type: 'admission-published', isEmpty: true, stored: true}]);
	});

	it('guards against a record that counts as stored although the answer was lost', async () => {
		const {context, state, events} = createContext();
		state.isDelaying = true;
		performSchedulerEffect({type: 'publish-summary', queues: {}, admission}, context);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		assert.deepEqual(events, [{type: 'admission-published', isEmpty: true, stored: false}]);
	});
});

describe('orders that wait for a payload', () => {
	for (const {isReleased, outcome} of [{isReleased: true, outcome: 'withheld'}, {isReleased: false, outcome: 'accepted'}]) {
		it(`guards against starting a run that was released while its payload was read: ${isReleased ? 'released' : 'pending'}`, async () => {
			const {context, events} = createContext();
			const key = createPayloadKey('a');
			const state = {isPending: true};
			const store = {
				async list() {
					state.isPending = !isReleased;
					return {ok: true, value: {revision: 1, entries: [{key, value: 'text', modRevision: 1}]}};
				},
			} as unknown as Store;
			const workers = {
				async start() {
					return {outcome: 'accepted'};
				},
			} as unknown as WorkerCalls;
			performSchedulerEffect({
				type: 'start', worker: 'w1', address: '10.0.0.1:80', job: 'a', task: 'a.0.0.0', run: 1, leaseUntilMs: 10, checkpoint: '', ticket: '',
			}, {
				...context, platform: {...context.platform, workers}, payloads: new PayloadCache({store}), isStartPending: () => state.isPending,
			});
			while (events.length === 0) {
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			assert.deepEqual(events, [{
				type: 'start-answered', worker: 'w1', task: 'a.0.0.0', run: 1, answer: {outcome},
			}]);
		});
	}
});

describe('view of the schedule', () => {
	it('guards against a store call of its own: it is written together with the summary, and only when it is given', async () => {
		const {context, readKey, transactions} = createContext();
		performSchedulerEffect({type: 'publish-summary', queues: {plans: {waiting: 2}}, view: '{"term":1}'}, context);
		await settle();
		assert.equal(transactions.length, 1);
		assert.equal(readKey(viewKey), '{"term":1}');
		assert.match(readKey(summaryKey) ?? '', /"waiting":2/);
		performSchedulerEffect({type: 'publish-summary', queues: {}}, context);
		await settle();
		assert.deepEqual(transactions.at(-1)?.success.map(operation => operation.key), [summaryKey]);
	});

	it('guards against a lost view: the scheduler learns that the store did not take it', async () => {
		const {context, state, events} = createContext();
		state.isDelaying = true;
		performSchedulerEffect({type: 'publish-summary', queues: {}, view: '{}'}, context);
		await settle();
		assert.deepEqual(events, [{type: 'view-not-stored'}]);
	});
});

async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
