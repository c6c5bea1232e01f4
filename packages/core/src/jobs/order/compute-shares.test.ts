import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Organisation, organisationSchema, type Resources} from '../state/configuration-schema.js';
import {computeShares} from './compute-shares.js';

const capacity: Resources = {cpuMillis: 12_000, memoryMb: 12_000, accelerators: 0};

function cores(count: number, memoryMb = 0): Resources {
	return {cpuMillis: count * 1000, memoryMb, accelerators: 0};
}

function createOrganisations(weights: Readonly<Record<string, number>>, limit?: Resources): Map<string, Organisation> {
	return new Map(Object.entries(weights).map(([name, weight]) => [name, organisationSchema.parse({
		name, keys: [], weight, limit,
	})]));
}

function listShares(weights: Readonly<Record<string, number>>, waiting: Readonly<Record<string, Resources>>, limit?: Resources): Record<string, number> | undefined {
	const shares = computeShares({capacity, usedByOrganisation: new Map()}, new Map(Object.entries(waiting)), createOrganisations(weights, limit));
	return shares && Object.fromEntries([...shares.organisations].map(([name, {share}]) => [name, Math.round(share)]));
}

describe('shares of a service', () => {
	it('are in proportion to the weights under contention', () => {
		assert.deepEqual(listShares({a: 2, b: 1}, {a: cores(20), b: cores(20)}), {a: 8000, b: 4000});
	});

	it('guards against capacity kept for an organisation that does not use it', () => {
		assert.deepEqual(listShares({a: 2, b: 1}, {a: cores(1), b: cores(20)}), {a: 1000, b: 11_000});
		assert.deepEqual(listShares({a: 1, b: 1}, {a: cores(20), b: cores(20)}, cores(2)), undefined);
	});

	it('count the dominant resource, so that memory is not taken for nothing', () => {
		assert.deepEqual(listShares({a: 1, b: 1}, {a: cores(1, 12_000), b: cores(12)}), {a: 6000, b: 6000});
	});

	it('do not apply while all tasks fit, to one organisation, or to one beside others with the weight 0', () => {
		assert.equal(listShares({a: 1, b: 1}, {a: cores(6), b: cores(6)}), undefined);
		assert.equal(listShares({a: 1, b: 1}, {a: cores(20)}), undefined);
		assert.equal(listShares({a: 1, b: 0}, {a: cores(20), b: cores(20)}), undefined);
	});

	it('give nothing to the weight 0 while two others compete', () => {
		assert.deepEqual(listShares({a: 1, b: 1, c: 0}, {a: cores(20), b: cores(20), c: cores(20)}), {a: 6000, b: 6000, c: 0});
	});
});
