import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addJob} from '../state/add-job.js';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {jobSchema} from '../state/job-schema.js';
import {type JobOutlook} from '../order/job-outlook.js';
import {measureOutlook} from '../order/measure-outlook.js';
import {measureWaits} from './measure-waits.js';

const forecast = {presentCpuMillis: 10_000, laterCpuMillis: 10_000, freeCpuMillis: 0};
const longUsefulMs = 1_000_000;

/** A hundred jobs of 1 core-second each, so that 88 of them are certain in spite of wrong estimates. */
function createOutlooks(changes: Partial<JobOutlook> = {}, count = 100): JobOutlook[] {
	const configuration = configurationSchema.parse({
		version: 1, queues: [], pools: [], organisations: [], maximumBodyBytes: 1,
	});
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	addJob({
		scheduler, now: 0, timeOfDay: 0, effects: [],
	}, jobSchema.parse({
		id: 'a', queue: 'watches', service: 'planner', organisation: 'north', acceptedAtMs: 0, steps: [{count: 1, cpuMillis: 1000, estimatedMs: 1000}],
	}));
	const job = scheduler.jobs.get('a');
	assert.ok(job !== undefined);
	const outlook = measureOutlook(scheduler, job, 0);
	return Array.from({length: count}, () => ({...outlook, objectiveMs: longUsefulMs, ...changes}));
}

/** 15 core-seconds are done before the instances arrive, and the other 73 with them; the last path of 1 s may leave cores idle. */
const certainWaitMs = 1500 + ((88_000_000 - 15_000_000) / 20_000) - 1000;

function measure(outlooks: readonly JobOutlook[], changes: Partial<Parameters<typeof measureWaits>[0]> = {}): number | undefined {
	return measureWaits({
		outlooks, forecast, shares: undefined, priority: 1, now: 0, ...changes,
	}).get('north');
}

describe('measureWaits', () => {
	it('measures the wait with the capacity that will arrive', () => {
		assert.equal(measure(createOutlooks()), certainWaitMs);
	});

	const ignored: ReadonlyArray<{fault: string; changes: Partial<JobOutlook>; wait: number | undefined}> = [
		{fault: 'jobs of the same priority, whose place in the order may change', changes: {priority: 1}, wait: 0},
		{fault: 'jobs of another organisation, which may be beyond its share', changes: {organisation: 'south'}, wait: undefined},
		{fault: 'jobs that are of no use any more', changes: {objectiveMs: 100}, wait: 0},
		{fault: 'jobs that are of no use soon', changes: {objectiveMs: 1000}, wait: 2000},
	];
	for (const {fault, changes, wait} of ignored) {
		it(`guards against a wait for ${fault}`, () => {
			assert.equal(measure(createOutlooks(changes)), wait);
		});
	}

	it('guards against a longer wait than that of the jobs that stay of use', () => {
		assert.equal(measure([...createOutlooks(), ...createOutlooks({objectiveMs: 1000})]), certainWaitMs);
	});

	it('counts at least two fifths of the work of a few jobs', () => {
		assert.equal(measure(createOutlooks({waitingWork: 50_000_000}, 1)), 1500 + ((20_000_000 - 15_000_000) / 20_000) - 1000);
	});

	it('serves an organisation with its share while others wait', () => {
		const others = createOutlooks({organisation: 'south', priority: 1}, 1000);
		const balance = {
			weight: 1, used: 0, waiting: 0, share: 5000,
		};
		const shares = {capacity: 10_000, organisations: new Map([['north', balance], ['south', balance]])};
		// 88 core-seconds at half of the capacity, which the organisation may exceed by 3 s x 20 cores at first.
		assert.equal(measure([...others, ...createOutlooks()], {shares}), 1500 + ((176_000_000 - 60_000_000 - 15_000_000) / 20_000) - 1000);
	});
});
