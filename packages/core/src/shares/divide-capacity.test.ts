import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {divideCapacity} from './divide-capacity.js';

const tolerance = 1e-6;

const claimSets = fc.array(fc.record({demand: fc.integer({min: 0, max: 200}), weight: fc.integer({min: 1, max: 10})}), {minLength: 1, maxLength: 12})
	.map(list => new Map(list.map((claim, index) => [`team-${index}`, claim])));

// Guards against a team that gets less than its demand while another team gets more per unit of weight.
test('gives no team more per unit of weight than a team whose demand is not met', () => {
	fc.assert(fc.property(claimSets, fc.integer({min: 0, max: 300}), (all, capacity) => {
		const shares = divideCapacity(all, capacity);
		for (const [unsatisfied, {demand, weight}] of all) {
			const share = shares.get(unsatisfied) ?? 0;
			if (share >= demand - tolerance) {
				continue;
			}

			for (const [other, claim] of all) {
				assert.ok((shares.get(other) ?? 0) / claim.weight <= (share / weight) + tolerance);
			}
		}
	}), {seed: 1});
});

// Guards against slots that stay free while a team waits, and against slots allocated twice.
test('allocates the lesser of capacity and total demand, and to no team more than its demand', () => {
	fc.assert(fc.property(claimSets, fc.integer({min: 0, max: 300}), (all, capacity) => {
		const shares = divideCapacity(all, capacity);
		let granted = 0;
		let wanted = 0;
		for (const [team, {demand}] of all) {
			const share = shares.get(team) ?? 0;
			assert.ok(share <= demand + tolerance && share >= 0);
			granted += share;
			wanted += demand;
		}

		assert.ok(Math.abs(granted - Math.min(capacity, wanted)) < tolerance);
	}), {seed: 1});
});

