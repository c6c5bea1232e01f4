import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type WaitingJob} from './list-waiting-jobs.js';
import {measureWaits} from './measure-waits.js';

const forecast = {presentCpuMillis: 10_000, laterCpuMillis: 10_000, laterMs: 1500};
const longUseful = 1_000_000;

/** A hundred jobs of 1 core-second each, so that 88 of them are certainly ahead in spite of wrong estimates. */
function createJobs(changes: Partial<WaitingJob> = {}): WaitingJob[] {
	return Array.from({length: 100}, () => ({
		service: 'planner', organisation: 'north', priority: 0, lateness: 0 as const, waitingWork: 1_000_000, assignedWork: 0, usefulForMs: longUseful, ...changes,
	}));
}

/** Wait of a job with as much work as the others: 15 core-seconds are done before the instances arrive, and the other 73 with them. */
const certainWaitMs = 1500 + ((88_000_000 - 15_000_000) / 20_000);

describe('measureWaits', () => {
	it('measures the wait with the capacity that will arrive', () => {
		assert.deepEqual(measureWaits({jobs: createJobs(), forecast, priority: 0}).at(-1), {work: 1_000_000, waitMs: certainWaitMs, lateWaitMs: certainWaitMs});
	});

	const ignored: ReadonlyArray<{fault: string; changes: Partial<WaitingJob>}> = [
		{fault: 'jobs of lower priority', changes: {priority: 1}},
		{fault: 'jobs that are of no use when their turn comes', changes: {usefulForMs: -1}},
	];
	for (const {fault, changes} of ignored) {
		it(`guards against a wait for ${fault}`, () => {
			assert.ok(measureWaits({jobs: createJobs(changes), forecast, priority: 0}).every(({waitMs, lateWaitMs}) => waitMs === 0 && lateWaitMs === 0));
		});
	}

	it('counts late jobs only for a job that becomes late before it starts', () => {
		assert.deepEqual(measureWaits({jobs: createJobs({lateness: 1}), forecast, priority: 0}).at(-1), {work: 1_000_000, waitMs: 0, lateWaitMs: certainWaitMs});
	});

	it('guards against a wait for jobs with more work, and counts all jobs of higher priority', () => {
		assert.deepEqual(measureWaits({jobs: createJobs(), forecast, priority: 0})[0], {work: 0, waitMs: 0, lateWaitMs: 0});
		assert.deepEqual(measureWaits({jobs: createJobs(), forecast, priority: 1})[0], {work: 0, waitMs: certainWaitMs, lateWaitMs: certainWaitMs});
	});

	it('serves an organisation beyond its share with its share while others wait', () => {
		const others = Array.from({length: 10}, () => createJobs()).flat();
		const [wait] = measureWaits({
			jobs: others, forecast, priority: 1, beyondShare: {jobs: createJobs(), share: {fraction: 0.5, isExceeded: true}},
		});
		// 100 core-seconds at half of the capacity, of which 88 in 100 are certain.
		assert.equal(wait?.waitMs, 1500 + ((176_000_000 - 15_000_000) / 20_000));
	});
});
