import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {planFaults} from './plan-faults.js';

const durationMs = 60_000;
const targets = {processes: ['entry-1', 'entry-2'], workers: ['w1', 'w2'], connections: ['callers>entry-1', 'all>w1']};
const seeds = Array.from({length: 50}, (_, seed) => seed);

describe('planFaults', () => {
	it('guards against a seed that can not be replayed', () => {
		assert.deepEqual(planFaults(7, {durationMs, targets}), planFaults(7, {durationMs, targets}));
		assert.notDeepEqual(planFaults(7, {durationMs, targets}), planFaults(8, {durationMs, targets}));
	});

	it('guards against faults that outlast the run, and would be taken for lost jobs', () => {
		for (const seed of seeds) {
			for (const fault of planFaults(seed, {durationMs, targets})) {
				assert.ok(fault.atMs + fault.durationMs <= durationMs, `seed ${seed}, fault ${fault.number}`);
			}
		}
	});

	it('guards against a kill of a paused worker, whose runs would seem to last until the kill', () => {
		for (const seed of seeds) {
			for (const worker of targets.workers) {
				const faults = planFaults(seed, {durationMs, targets}).filter(({target}) => target === worker);
				for (const [position, fault] of faults.slice(1).entries()) {
					const earlier = faults[position];
					assert.ok(earlier !== undefined && earlier.atMs + earlier.durationMs < fault.atMs, `seed ${seed}, fault ${fault.number}`);
				}
			}
		}
	});

	it('guards against schedules without some kind of fault, without series and without overlap', () => {
		const plans = seeds.map(seed => planFaults(seed, {durationMs, targets}));
		assert.equal(new Set(plans.flat().map(({kind}) => kind)).size, 19);
		for (const faults of plans) {
			assert.ok(faults.slice(1).some((fault, position) => {
				const earlier = faults[position];
				return earlier !== undefined && earlier.atMs + earlier.durationMs > fault.atMs;
			}));
		}

		assert.ok(plans.flat().some((fault, position, all) => fault.kind === 'process-stopped' && all[position + 1]?.kind === 'process-stopped'));
	});
});
