import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {estimateFarRatio} from '@rosemaryquay/core/jobs/estimates/estimate-far-ratio';
import {type HotRackOutcome, simulateHotRack} from './simulate-hot-rack.js';

/** Longest wait for capacity near the data, in milliseconds, and the time until the next decision. */
const maximumWaitMs = 1500 + 50;

const burstAt = 6500;

function assertSound({fleet}: HotRackOutcome): void {
	assert.deepEqual(fleet.checker.violations, []);
	assert.deepEqual(fleet.unfinishedJobs, []);
}

/** Ended waits with the time at which they began. */
function listWaits({fleet}: HotRackOutcome) {
	return fleet.log.filter(({event}) => event === 'data-wait-ended').map(({at, fields}) => ({
		job: String(fields.job), at, waitMs: Number(fields.waitMs), totalMs: Number(fields.totalMs),
	}));
}

describe('a rack that many jobs need', () => {
	it('guards against runs far from their data while room near it is about to become free: more jobs end within their objective, with less work', () => {
		for (const burstIntervalMs of [50, 35]) {
			const present = simulateHotRack({seed: 1, settingRatio: 1, burstIntervalMs});
			const waiting = simulateHotRack({seed: 1, burstIntervalMs});
			assertSound(present);
			assertSound(waiting);
			assert.ok(waiting.timely > present.timely && waiting.hotTimely > present.hotTimely, `${waiting.timely} and ${present.timely}`);
			assert.ok(waiting.useless <= present.useless);
			assert.ok(waiting.coreSeconds < present.coreSeconds);
			const waits = listWaits(waiting);
			assert.ok(waits.length > 0 && waits.every(({totalMs}) => totalMs <= maximumWaitMs));
			assert.equal(listWaits(present).length, 0);
		}
	});

	for (const loss of ['unlisted', 'silent'] as const) {
		it(`guards against a wait for a lost rack (${loss})`, () => {
			const outcome = simulateHotRack({
				seed: 2, lostAt: burstAt, loss, burstIntervalMs: 35,
			});
			assertSound(outcome);
			const waits = listWaits(outcome);
			assert.ok(waits.some(({at}) => at <= burstAt));
			assert.ok(waits.every(({totalMs}) => totalMs <= maximumWaitMs));
			// A silent worker is left out when its next report does not arrive.
			const knownAt = burstAt + (loss === 'silent' ? 2500 : 100);
			assert.deepEqual(waits.filter(({at, waitMs}) => at - waitMs > knownAt), []);
		});
	}

	it('guards against a takeover while tasks wait, after which they would wait beyond the objective of their job', () => {
		const takeoverAt = 7500;
		const outcome = simulateHotRack({
			seed: 2, takeoverAt, hotFraction: 0.2, burstIntervalMs: 35,
		});
		assertSound(outcome);
		const waits = listWaits(outcome);
		assert.ok(waits.some(({job, at}) => at > takeoverAt && (outcome.jobs.find(known => known.job.id === job)?.job.acceptedAtMs ?? at) < takeoverAt));
		for (const {job: id, at, totalMs} of waits) {
			const known = outcome.jobs.find(({job}) => job.id === id);
			assert.ok(known);
			const {job, trueMs} = known;
			const longestEstimateMs = Math.max(1.2 * trueMs, job.steps[0]?.estimatedMs ?? 0);
			assert.ok(totalMs <= maximumWaitMs);
			assert.ok(at - job.acceptedAtMs <= (0.6 * longestEstimateMs) + 600 + 50, `${id} waited until the age of ${at - job.acceptedAtMs} ms`);
		}
	});

	for (const {trueRatio, settingRatio} of [{trueRatio: 1.5, settingRatio: 1.5}, {trueRatio: 3, settingRatio: 3}, {trueRatio: 1.5, settingRatio: 3}, {trueRatio: 3, settingRatio: 1.5}]) {
		it(`guards against a wrong ratio in the settings: learns ${trueRatio} where they say ${settingRatio}`, () => {
			const outcome = simulateHotRack({
				seed: 4, trueRatio, settingRatio, hotFraction: 0.5, burstIntervalMs: 60,
			});
			assertSound(outcome);
			const {owner} = outcome.fleet;
			assert.ok(owner);
			const learned = estimateFarRatio(owner.scheduler.estimates);
			assert.ok(Math.abs(Math.log(learned / trueRatio)) < 0.2, String(learned));
		});
	}
});
