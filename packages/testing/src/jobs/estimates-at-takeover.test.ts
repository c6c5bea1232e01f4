import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {estimateDuration} from '@rosemaryquay/core/jobs/estimates/estimate-duration';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const trueMs = 800;
const estimatedMs = 2000;
const takeoverAt = 14_000;

/** Runs jobs whose estimates are 2.5 times too long, and a takeover; returns what the next owner estimates for a new job. */
function estimateAfterTakeover(changeSummary: (summary: string | undefined) => string | undefined) {
	const fleet = new FleetModel({
		seed: 1, configuration: createConfiguration(), workers: createWorkers(4), getBehaviour: () => ({durationMs: trueMs}),
	});
	fleet.takeOver();
	const steps = [{count: 4, cpuMillis: 1500, estimatedMs}];
	for (let at = 1000; at < takeoverAt - 1000; at += 400) {
		fleet.at(at, () => {
			fleet.submit(createJob(`j${at}`, {acceptedAtMs: at, steps}));
		});
	}

	let estimate = 0;
	let isStored = false;
	fleet.at(takeoverAt, () => {
		isStored = fleet.storedEstimates !== undefined;
		fleet.killOwner();
		fleet.storedEstimates = changeSummary(fleet.storedEstimates);
		fleet.takeOver();
		fleet.submit(createJob('next', {acceptedAtMs: takeoverAt, steps}));
	});
	fleet.at(takeoverAt + 100, () => {
		const scheduler = fleet.owner?.scheduler;
		const job = scheduler?.jobs.get('next');
		assert.ok(scheduler !== undefined && job !== undefined);
		estimate = estimateDuration(scheduler, job, 0);
	});
	fleet.runUntil(60_000);
	assert.deepEqual(fleet.checker.violations, []);
	assert.deepEqual(fleet.unfinishedJobs, []);
	return {estimate, isStored};
}

describe('estimates at a takeover', () => {
	it('guards against a new owner that takes the callers\' estimates although the former one has learned better', () => {
		const {estimate, isStored} = estimateAfterTakeover(summary => summary);
		assert.ok(isStored);
		assert.ok(Math.abs(estimate - trueMs) < 0.2 * trueMs, String(estimate));
	});

	it('guards against a takeover that fails because the summary is missing or unreadable', () => {
		for (const summary of [undefined, '{"sketches":', '{"sketches":[["p plans 0",-1,null,0]],"slow":{}}']) {
			assert.equal(estimateAfterTakeover(() => summary).estimate, estimatedMs);
		}
	});
});
