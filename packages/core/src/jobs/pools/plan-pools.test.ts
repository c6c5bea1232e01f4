import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type MeasuredPool, type MeasuredPools, type MovableInstance} from './measured-pools.js';
import {planPools} from './plan-pools.js';

const cpuMillis = 16_000;

function createPool(name: string, options: Partial<MeasuredPool> = {}): MeasuredPool {
	return {
		name, priority: 0, size: 4, capacity: 4 * cpuMillis, incoming: {count: 0, cpuMillis: 0}, need: 0, timelyNeed: 0, isBlocked: false, kept: 4, prepared: 0, heldBack: 0, ignoresHeldBack: false, returnMs: 1000, directMoveMs: 500, idle: [], ...options,
	};
}

function createInstances(name: string, count: number, idleMs = 0): MovableInstance[] {
	return Array.from({length: count}, (_, index) => ({id: `${name}${index}`, cpuMillis, idleMs}));
}

function countMoves(measured: Omit<MeasuredPools, 'sparePool'>, options?: Parameters<typeof planPools>[1]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {pool} of planPools({...measured, sparePool: 'reserve'}, options).moves) {
		counts[pool] = (counts[pool] ?? 0) + 1;
	}

	return counts;
}

describe('plan over all pools', () => {
	it('guards against serving batch work first because it lacks more: urgent work comes first when there is too little', () => {
		const pools = [
			createPool('large', {priority: 1, need: 30 * cpuMillis, timelyNeed: 30 * cpuMillis}),
			createPool('quick', {need: 7 * cpuMillis, timelyNeed: 7 * cpuMillis}),
		];
		const spare = createInstances('s', 5);
		assert.deepEqual(countMoves({pools, spare}), {quick: 3, large: 2});
		assert.deepEqual(countMoves({pools, spare}, {ranksByPriority: false}), {large: 5});
	});

	it('guards against serving late urgent work before timely batch work', () => {
		const pools = [
			createPool('quick', {need: 10 * cpuMillis}),
			createPool('large', {priority: 1, need: 7 * cpuMillis, timelyNeed: 7 * cpuMillis}),
		];
		assert.deepEqual(countMoves({pools, spare: createInstances('s', 4)}), {large: 3, quick: 1});
	});

	it('guards against a batch burst that takes what the next urgent burst needs at its start', () => {
		const quick = createPool('quick', {heldBack: 6 * cpuMillis});
		const large = createPool('large', {priority: 1, need: 30 * cpuMillis, timelyNeed: 30 * cpuMillis});
		const spare = createInstances('s', 10);
		assert.deepEqual(countMoves({pools: [quick, large], spare}), {large: 4});
		assert.deepEqual(countMoves({pools: [quick, {...large, ignoresHeldBack: true}], spare}), {large: 10});
		assert.deepEqual(countMoves({
			pools: [{
				...quick, need: 9 * cpuMillis, timelyNeed: 9 * cpuMillis, heldBack: 0,
			}, large], spare,
		}), {quick: 5, large: 5});
	});

	it('guards against two moves through the spare pool where one suffices', () => {
		const pools = [
			createPool('north', {kept: 1, idle: createInstances('n', 4, 600)}),
			createPool('south', {need: 6 * cpuMillis, timelyNeed: 6 * cpuMillis}),
		];
		const {moves} = planPools({pools, spare: createInstances('s', 4), sparePool: 'reserve'});
		assert.deepEqual(moves, [{instance: 'n0', pool: 'south'}, {instance: 'n1', pool: 'south'}]);
	});

	it('returns instances that have been idle for long enough, and keeps the reserve and what the jobs need', () => {
		const idle = createInstances('n', 4, 1200);
		assert.deepEqual(countMoves({pools: [createPool('north', {kept: 3, idle})], spare: []}), {reserve: 1});
		assert.deepEqual(countMoves({pools: [createPool('north', {kept: 0, need: 2 * cpuMillis, idle})], spare: []}), {reserve: 2});
		assert.deepEqual(countMoves({
			pools: [createPool('north', {
				kept: 0, isBlocked: true, capacity: 0, idle,
			})], spare: [],
		}), {});
	});

	it('guards against requesting instances again that are under way, and against an empty spare pool', () => {
		const pools = [createPool('north', {need: 8 * cpuMillis, timelyNeed: 8 * cpuMillis, incoming: {count: 4, cpuMillis: 4 * cpuMillis}})];
		assert.deepEqual(countMoves({pools, spare: createInstances('s', 4)}), {});
		const lacking = [createPool('north', {need: 8 * cpuMillis, timelyNeed: 8 * cpuMillis})];
		const plan = planPools({pools: lacking, spare: [], sparePool: 'reserve'});
		assert.deepEqual([plan.moves, plan.timelyShortages.get('north')], [[], 4 * cpuMillis]);
	});

	it('fills a pool up ahead of its burst after the pools that lack instances now', () => {
		const pools = [createPool('north', {prepared: 8}), createPool('south', {need: 6 * cpuMillis, timelyNeed: 6 * cpuMillis})];
		assert.deepEqual(countMoves({pools, spare: createInstances('s', 5)}), {south: 2, north: 3});
	});
});
