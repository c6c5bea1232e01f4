import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createEstimates} from './create-estimates.js';
import {encodeSummary} from './encode-summary.js';
import {learnSample} from './learn-sample.js';
import {restoreSummary} from './restore-summary.js';

describe('summary of the estimates', () => {
	it('guards against losing at a takeover what the former owner has learned', () => {
		const former = createEstimates();
		for (const value of [6.1, 6.4, 6.2, 6.3, 6.2, 6.1, 6.5]) {
			learnSample(former, 'p plans 0', value);
		}

		const next = createEstimates();
		assert.equal(restoreSummary(next, encodeSummary(former), 0), true);
		const [before, after] = [former.sketches.get('p plans 0'), next.sketches.get('p plans 0')];
		assert.ok(before !== undefined && after !== undefined);
		assert.ok(Math.abs(before.median - after.median) < 0.01);
		// An odd number of samples has one at the median, which lowers the spread of few samples a little.
		assert.ok(Math.abs(before.spread - after.spread) < 0.1);
	});

	it('guards against a takeover that fails because of an unreadable summary', () => {
		for (const summary of ['', '{', '[]', '{"sketches":[["a",0,1,1]],"slow":[]}', '{"sketches":[["a",1,"x",1]],"slow":[]}', 'null']) {
			const estimates = createEstimates();
			assert.equal(restoreSummary(estimates, summary, 0), false, summary);
			assert.equal(estimates.sketches.size, 0);
		}

		assert.equal(restoreSummary(createEstimates(), undefined, 0), true);
	});

	it('guards against losing the images that crash workers when there are more images than the summary holds', () => {
		const former = createEstimates();
		former.images.set('broken', 'crashing');
		former.images.set('doubtful', 'suspect');
		for (let count = 0; count < 500; count++) {
			former.images.set(`plan-${count}-of-a-long-name`, 'sound');
		}

		const next = createEstimates();
		const summary = encodeSummary(former);
		assert.ok(new TextEncoder().encode(summary).length <= 8192);
		assert.equal(restoreSummary(next, summary, 0), true);
		assert.equal(next.images.get('broken'), 'crashing');
		assert.equal(next.images.get('doubtful'), 'suspect');
		assert.equal(next.images.get('plan-499-of-a-long-name'), 'sound');
	});

	it('guards against a summary beyond 8 kB, also with long names of several bytes a character', () => {
		const estimates = createEstimates();
		for (let count = 0; count < 600; count++) {
			learnSample(estimates, `p ${'é'.repeat(100)}${count} 0`, 6);
		}

		assert.ok(estimates.sketches.size <= 512);
		const summary = encodeSummary(estimates);
		assert.ok(new TextEncoder().encode(summary).length <= 8192);
		assert.ok(summary.includes('é599 0'), 'the latest are kept');
	});
});
