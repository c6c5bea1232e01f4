import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/event';
import {type Progress} from '@rosemaryquay/core/jobs/job-schema';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Transaction} from '@rosemaryquay/core/store/transaction';
import {StoreModel} from '@rosemaryquay/testing/store-model';
import {createLogger} from '../create-logger.js';
import {createJobKey} from './create-job-key.js';
import {ownerKey} from './keys.js';
import {type EffectContext, performSchedulerEffect} from './perform-scheduler-effect.js';
import {type Platform} from './ports.js';

/** Occurrence and step, as progress names them. */
const firstStep = '0.0';

/** A store that can keep a transaction back, leave it without an answer and carry it out later. */
function createContext() {
	const model = new StoreModel();
	model.put(ownerKey, 'entry-1');
	const kept: Transaction[] = [];
	const events: SchedulerEvent[] = [];
	const state = {isLate: false};
	const store: Pick<Store, 'transact'> = {
		async transact(transaction) {
			if (state.isLate) {
				kept.push(transaction);
				return {ok: false, reason: 'outcome-unknown'};
			}

			return {ok: true, value: model.transact(transaction)};
		},
	};
	const context: EffectContext = {
		platform: {store} as unknown as Platform,
		logger: createLogger({name: 'test', level: 'error'}),
		mandate: {term: 1, fence: model.revision},
		instance: 'entry-1',
		journal: {revision: 0},
		dispatch(event) {
			events.push(event);
		},
		stepDown(reason) {
			assert.fail(reason);
		},
	};
	const commit = async (number: number, positions: number[]): Promise<void> => {
		const progress: Progress = {done: {[firstStep]: positions}, failures: {}};
		const known = events.length;
		performSchedulerEffect({type: 'commit', number, writes: [{type: 'progress', job: 'a', progress}]}, context);
		while (events.length === known) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	};

	const carryOut = (): void => {
		for (const transaction of kept.splice(0)) {
			model.transact(transaction);
		}
	};

	const read = (): unknown => JSON.parse(model.entries.get(createJobKey('a', 'progress'))?.value ?? 'null');
	return {
		state, events, commit, carryOut, read,
	};
}

describe('progress that the store writes late', () => {
	it('guards against an older write that replaces a newer one', async () => {
		const {state, commit, carryOut, read, events} = createContext();
		state.isLate = true;
		await commit(1, [0]);
		state.isLate = false;
		await commit(2, [0, 1, 2]);
		carryOut();
		assert.deepEqual(read(), {done: {[firstStep]: [0, 1, 2]}, failures: {}});
		assert.deepEqual(events.map(({type}) => type), ['commit-failed', 'committed']);
	});

	it('goes on after a write that was carried out without an answer', async () => {
		const {state, commit, carryOut, read, events} = createContext();
		state.isLate = true;
		await commit(1, [0]);
		state.isLate = false;
		carryOut();
		await commit(2, [0, 1]);
		await commit(3, [0, 1, 2]);
		assert.deepEqual(read(), {done: {[firstStep]: [0, 1, 2]}, failures: {}});
		assert.deepEqual(events.map(({type}) => type), ['commit-failed', 'committed', 'committed']);
	});
});
