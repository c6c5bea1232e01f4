import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type Store} from '@rosemaryquay/core/store/store';
import {createJob} from '@rosemaryquay/testing/jobs/create-fleet';
import {JobStore} from './job-store.js';

/** Time that the fake store takes to refuse a call. */
const refusalMs = 20;

describe('accepting a job while the store refuses writes', () => {
	it('answers `unavailable` before the deadline instead of starting an attempt whose outcome would stay unknown', async () => {
		const store = {
			async transact() {
				await delay(refusalMs);
				return {ok: false, reason: 'unavailable'};
			},
		} as unknown as Store;
		// Deadlines in steps of 10 ms cover more than one interval between attempts (a refusal and the retry delay), so that some fall just after an attempt would start.
		const deadlines = Array.from({length: 14}, (_, position) => 600 + (position * 10));
		await Promise.all(deadlines.map(async deadlineMs => {
			const deadlineAt = performance.now() + deadlineMs;
			const accepted = await new JobStore({store}).accept(createJob('a'), {payload: '', condition: {key: 'configuration', modRevision: 1}, deadlineAt});
			assert.equal(accepted.type, 'unavailable');
			assert.ok(performance.now() < deadlineAt, `answered after a deadline of ${deadlineMs} ms`);
		}));
	});
});
