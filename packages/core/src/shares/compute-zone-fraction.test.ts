import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {catalogueSchema} from '../catalogue/schema.js';
import {createNode} from '../node/create-node.js';
import {reduce} from '../node/reduce.js';
import {computeZoneFraction} from './compute-zone-fraction.js';

// Guards against a restored zone that takes its full load at once, and against a reloaded catalogue that restarts the ramp-up.
test('ramps up a restored availability zone', () => {
	const node = createNode({id: 'entry-1', zone: 'zone-a'});
	const load = (at: number, withdrawn: boolean): void => {
		const catalogue = catalogueSchema.parse({
			zones: {
				'zone-a': {
					owner: 'operations', region: 'main', withdrawn, limits: {returnMs: 1000},
				},
			},
		});
		reduce(node, {type: 'catalogue-loaded', at, snapshot: createSnapshot(catalogue, at)});
	};

	load(0, false);
	assert.equal(computeZoneFraction(node, 'zone-a', 1), 1);
	load(10, true);
	assert.equal(computeZoneFraction(node, 'zone-a', 11), 0);
	load(100, false);
	load(200, false);
	assert.deepEqual([100, 600, 1100].map(at => computeZoneFraction(node, 'zone-a', at)), [0, 0.5, 1]);
	assert.equal(computeZoneFraction(node, 'unlisted', 100), 1);
});
