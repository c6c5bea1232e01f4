import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createPlan} from './create-plan.js';
import {isPeak} from './is-peak.js';
import {type PoolRules} from './planner.js';
import {type InstanceRecord} from './records.js';

const hour = 3_600_000;
const weights = {buffer: 1, rollOutTime: 20, moves: 20};

function createFleet(count: number, pool: string): Map<string, InstanceRecord> {
	return new Map(Array.from({length: count}, (_, index) => [`${pool}-${index}`, {
		pool, zone: 'z', rack: `r-${Math.floor(index / 4)}`, state: 'in-service', generation: 0, maintainedAt: 0, failedReboots: 0,
	}]));
}

function createRules(unavailable: number): PoolRules {
	return {services: ['s'], maximumUnavailable: unavailable, peakHours: [{from: 6, to: 9}]};
}

test('plans each instance once, within the budget and outside peak hours', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.integer({min: 1, max: 9}), fc.integer({min: 0, max: 23}), (count, budget, startHour) => {
		const rules = createRules(budget);
		const {plan, forecast} = createPlan(createFleet(count, 'web'), {
			id: 'p', utcMs: startHour * hour, pools: new Map([['web', rules]]), sparePools: [], weights, stepMs: hour / 4,
		});
		const planned = plan.pools.web;
		assert.equal(new Set(planned?.waves.flat()).size, count);
		assert.ok(planned?.waves.every(wave => wave.length <= budget));
		assert.ok((planned?.concurrency ?? 99) <= budget);
		assert.ok(forecast.pools.every(pool => !isPeak(rules, pool.startsAt) && !isPeak(rules, pool.endsAt)));
	}), {seed: 41, numRuns: 200});
});

test('keeps a rack in one wave where the budget allows', () => {
	const {plan} = createPlan(createFleet(16, 'web'), {
		id: 'p', utcMs: 0, pools: new Map([['web', createRules(4)]]), sparePools: [], weights, stepMs: hour / 4,
	});
	assert.ok(plan.pools.web?.waves.every(wave => new Set(wave.map(id => Math.floor(Number(id.slice(4)) / 4))).size === 1));
});

// Guards against weights that have no effect on the plan, and against planning a pool that has neither a budget nor spare instances.
const lendingCases: ReadonlyArray<{name: string; budget: number; sparePools: string[]; moves: number; expected: number | undefined}> = [
	{
		name: 'a pool without a budget borrows one spare instance', budget: 0, sparePools: ['spare'], moves: 20, expected: 1,
	},
	{
		name: 'a pool without a budget cannot be planned without a spare pool', budget: 0, sparePools: [], moves: 20, expected: undefined,
	},
	{
		name: 'costly moves prevent lending', budget: 1, sparePools: ['spare'], moves: 20, expected: 0,
	},
	{
		name: 'cheap moves make lending worthwhile', budget: 1, sparePools: ['spare'], moves: 0.1, expected: 2,
	},
];

for (const {name, budget, sparePools: spares, moves, expected} of lendingCases) {
	test(`lends spare instances: ${name}`, () => {
		const {plan, forecast} = createPlan(new Map([...createFleet(8, 'spare'), ...createFleet(8, 'web')]), {
			id: 'p', utcMs: 0, pools: new Map([['web', createRules(budget)], ['spare', createRules(2)]]), sparePools: spares, weights: {...weights, moves}, stepMs: hour / 4,
		});
		assert.equal(plan.pools.web?.lent.length, expected);
		assert.deepEqual(forecast.blocked, expected === undefined ? ['web'] : []);
	});
}
