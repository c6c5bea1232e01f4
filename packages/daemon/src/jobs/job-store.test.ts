import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type Store} from '@rosemaryquay/core/store/store';
import {createJob} from '@rosemaryquay/testing/jobs/create-fleet';
import {createEndedJobKey} from './create-ended-job-key.js';
import {createJobKey} from './create-job-key.js';
import {createProgressKey} from './create-progress-key.js';
import {encodeJob} from './encode-job.js';
import {JobStore} from './job-store.js';
import {summaryKey} from './keys.js';

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

describe('records that another program has written', () => {
	const malformed = '{"publishedAtMs":';

	function createStore(entries: Readonly<Record<string, string>>): Store {
		return {
			async list(prefix: string) {
				const found = Object.entries(entries).filter(([key]) => key.startsWith(prefix));
				return {ok: true, value: {revision: 1, entries: found.map(([key, value]) => ({key, value, modRevision: 1}))}};
			},
		} as unknown as Store;
	}

	it('guards against a malformed summary that fails every count of waiting jobs', async () => {
		const job = createJob('a');
		const store = createStore({[summaryKey]: malformed, [createJobKey('a', 'accepted')]: encodeJob(job)});
		assert.equal(await new JobStore({store}).countWaiting(job.queue), 1);
	});

	it('guards against a malformed record of an end that fails every lookup', async () => {
		const store = createStore({[createEndedJobKey('a')]: malformed});
		assert.deepEqual(await new JobStore({store}).find('a'), {ok: true, job: undefined});
	});

	it('finds a job wherever it is in its life', async () => {
		const accepted = {[createJobKey('a', 'accepted')]: encodeJob(createJob('a'))};
		const states = await Promise.all([
			accepted,
			{...accepted, [createProgressKey('a')]: '{}'},
			{...accepted, [createJobKey('a', 'cancelled')]: '{}'},
			{
				[createEndedJobKey('a')]: JSON.stringify({
					state: 'failed', endedAtMs: 1, queue: 'plans', organisation: 'north',
				}),
			},
		].map(async entries => {
			const lookup = await new JobStore({store: createStore(entries)}).find('a');
			return lookup.ok ? lookup.job?.state : undefined;
		}));
		assert.deepEqual(states, ['queued', 'running', 'cancelled', 'failed']);
	});
});
