import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createBurstPattern} from '../pools/create-burst-pattern.js';
import {createEstimates} from './create-estimates.js';
import {encodeSummary} from './encode-summary.js';
import {estimateFarRatio} from './estimate-far-ratio.js';
import {type Estimates} from './estimates.js';
import {farSketchName} from './far-sketch-name.js';
import {learnSample} from './learn-sample.js';
import {restoreSummary} from './restore-summary.js';

function learn(estimates: Estimates, ratios: readonly number[]): Estimates {
	for (const ratio of ratios) {
		learnSample(estimates, farSketchName, Math.log(ratio));
	}

	return estimates;
}

function assertNear(actual: number, expected: number): void {
	assert.ok(Math.abs(Math.log(actual / expected)) < 0.15, `${actual} instead of ${expected}`);
}

describe('estimateFarRatio', () => {
	it('is the ratio in the settings while nothing was learned', () => {
		assertNear(estimateFarRatio(createEstimates({farRatio: 3})), 3);
	});

	it('guards against a wrong ratio in the settings that outweighs what was learned', () => {
		for (const [setting, ratio] of [[3, 1.5], [1.5, 3]] as const) {
			const ratios = Array.from({length: 32}, (_, position) => ratio * (position % 2 === 0 ? 1.2 : 1 / 1.2));
			assertNear(estimateFarRatio(learn(createEstimates({farRatio: setting}), ratios)), ratio);
		}
	});

	it('guards against a few long tasks that pass for the distance', () => {
		assertNear(estimateFarRatio(learn(createEstimates({farRatio: 2}), [2, 14, 2.1, 1.9, 2, 2])), 2);
	});

	it('guards against a learned ratio where the settings say that distance does not matter', () => {
		assert.equal(estimateFarRatio(learn(createEstimates({farRatio: 1}), [3, 3, 3])), 1);
	});

	it('guards against losing the ratio at a takeover', () => {
		const former = learn(createEstimates({farRatio: 2}), Array.from({length: 32}, () => 3));
		const next = createEstimates({farRatio: 2});
		restoreSummary({estimates: next, burstPattern: createBurstPattern()}, encodeSummary(former), {now: 0, timeOfDay: 0});
		assertNear(estimateFarRatio(next), 3);
	});
});
