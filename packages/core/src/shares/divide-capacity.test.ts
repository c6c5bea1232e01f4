import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {divideCapacity} from './divide-capacity.js';

const tolerance = 1e-6;

const claims = fc.array(fc.record({demand: fc.integer({min: 0, max: 200}), weight: fc.integer({min: 1, max: 10})}), {minLength: 1, maxLength: 12})
	.map(list => new Map(list.map((claim, index) => [`team-${index}`, claim])));

// Guards against a team below its share that waits while another holds more per weight than it.
test('gives no team more per weight than a team that wants more', () => {
	fc.assert(fc.property(claims, fc.integer({min: 0, max: 300}), (all, capacity) => {
		const shares = divideCapacity(all, capacity);
		for (const [poor, {demand, weight}] of all) {
			const share = shares.get(poor) ?? 0;
			if (share >= demand - tolerance) {
				continue;
			}

			for (const [rich, claim] of all) {
				assert.ok((shares.get(rich) ?? 0) / claim.weight <= (share / weight) + tolerance);
			}
		}
	}), {seed: 1});
});

// Guards against slots that stay free while a team waits, and against slots handed out twice.
test('hands out the lesser of capacity and demand, and never more than a demand', () => {
	fc.assert(fc.property(claims, fc.integer({min: 0, max: 300}), (all, capacity) => {
		const shares = divideCapacity(all, capacity);
		let given = 0;
		let wanted = 0;
		for (const [team, {demand}] of all) {
			const share = shares.get(team) ?? 0;
			assert.ok(share <= demand + tolerance && share >= 0);
			given += share;
			wanted += demand;
		}

		assert.ok(Math.abs(given - Math.min(capacity, wanted)) < tolerance);
	}), {seed: 1});
});

