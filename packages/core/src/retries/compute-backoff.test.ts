import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {computeBackoff} from './compute-backoff.js';

// Guards against retries that arrive in bursts, without a delay or after the deadline of most requests.
for (const [attempts, longest] of [[1, 50], [2, 100], [5, 800], [7, 2000], [60, 2000]] as const) {
	test(`waits between half and all of ${longest} ms after ${attempts} attempts`, () => {
		const random = xoroshiro128plus(1);
		const delays = Array.from({length: 200}, () => computeBackoff(random, attempts));
		assert.ok(delays.every(delayMs => delayMs >= longest / 2 && delayMs <= longest));
		assert.ok(new Set(delays).size > 10);
	});
}
