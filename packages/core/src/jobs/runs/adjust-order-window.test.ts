import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {adjustOrderWindow} from './adjust-order-window.js';

describe('window of unanswered start orders', () => {
	it('guards against orders that queue on a thin link until they miss their time-outs', () => {
		const window = {size: 64, reducedUntil: 0};
		for (let order = 0; order < 20; order++) {
			adjustOrderWindow(window, {outcome: 'accepted', latencyMs: 300}, order);
		}

		assert.equal(window.size, 44);
	});

	it('grows with each fast answer, whatever the worker decided', () => {
		const window = {size: 10, reducedUntil: 0};
		adjustOrderWindow(window, {outcome: 'accepted', latencyMs: 10}, 0);
		adjustOrderWindow(window, {outcome: 'full', latencyMs: 10}, 0);
		assert.equal(window.size, 12);
	});

	it('guards against closing the window when many orders that were sent together are lost', () => {
		const window = {size: 64, reducedUntil: 0};
		for (let order = 0; order < 64; order++) {
			adjustOrderWindow(window, {outcome: 'unanswered', latencyMs: 400}, order);
		}

		assert.equal(window.size, 32);
	});

	it('keeps a minimum, so that orders go on while nothing is answered', () => {
		const window = {size: 64, reducedUntil: 0};
		for (let now = 0; now < 60_000; now += 100) {
			adjustOrderWindow(window, {outcome: 'unanswered', latencyMs: 400}, now);
		}

		assert.ok(window.size > 0);
	});
});
