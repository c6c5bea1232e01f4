import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {measureReserves} from './measure-reserves.js';
import {observeBurst} from './observe-burst.js';

const pools = ['north', 'south', 'east', 'watches'];
const cpuMillis = 16_000;

/** Creates an owner of 80 instances that has seen bursts of 4 s, one every 5 s, on the given pools. */
function createOwner(order: readonly string[]) {
	const configuration = configurationSchema.parse({
		version: 1, queues: [], pools: pools.map(name => ({name})), organisations: [], maximumBodyBytes: 1,
	});
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	for (let index = 0; index < 80; index++) {
		scheduler.instances.set(`m${index}`, {
			id: `m${index}`, pool: 'north', state: 'up', availabilityZone: 'east', capacity: {cpuMillis, memoryMb: 1024, accelerators: 0}, worker: '',
		});
	}

	for (let now = 0; now < order.length * 5000; now += 100) {
		const reserves = measureReserves(scheduler, pools, now);
		for (const pool of pools) {
			const {threshold = 0, isExpected = true} = reserves.get(pool) ?? {};
			const demand = order[Math.floor(now / 5000)] === pool && now % 5000 < 4000 ? 20 * cpuMillis : 0;
			observeBurst(scheduler.burstPattern, pool, {
				demand, threshold, isExpected, now,
			});
		}
	}

	return (now: number) => Object.fromEntries([...measureReserves(scheduler, pools, now)].map(([pool, {kept, prepared}]) => [pool, {kept, prepared}]));
}

describe('reserves of pools between their bursts', () => {
	it('keeps an equal minimum in each pool until a burst has repeated in the expected order', () => {
		const reserves = createOwner(['north', 'south', 'east'])(15_000);
		assert.deepEqual(Object.values(reserves).map(({kept}) => kept), [7, 7, 7, 7]);
	});

	it('keeps few instances in a pool that is not next, and prepares the next one shortly before its burst', () => {
		const measure = createOwner(['north', 'south', 'east', 'north']);
		// The next burst is predicted for 20,000 ms, and a move takes less than 2 s.
		assert.deepEqual([measure(17_000).south, measure(18_500).south], [{kept: 7, prepared: 7}, {kept: 10, prepared: 10}]);
		assert.deepEqual([measure(18_500).north, measure(18_500).east], [{kept: 2, prepared: 0}, {kept: 2, prepared: 0}]);
	});

	it('guards against keeping a pool prepared for a burst that does not come', () => {
		assert.deepEqual(createOwner(['north', 'south', 'east', 'north'])(23_000).south, {kept: 7, prepared: 7});
	});

	it('guards against relying on an order that has changed: fills all pools up again', () => {
		const reserves = createOwner(['north', 'south', 'east', 'north', 'south', 'north'])(29_500);
		assert.deepEqual([reserves.south, reserves.east], [{kept: 7, prepared: 7}, {kept: 7, prepared: 7}]);
	});
});
