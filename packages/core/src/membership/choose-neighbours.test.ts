import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {maximumNeighbours} from '../constants.js';
import {chooseNeighbours, type Location} from './choose-neighbours.js';

const fleet = fc.uniqueArray(fc.record({id: fc.string({minLength: 1, maxLength: 6}), zone: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f')}), {
	minLength: 2, maxLength: 60, selector: member => member.id,
});

// Guards against a neighbour graph that is not connected, in which a part of the fleet never receives a revision, and against
// fan-out that grows with the fleet.
test('connects all members by bidirectional links with bounded fan-out', () => {
	fc.assert(fc.property(fleet, members => {
		const neighbours = new Map(members.map((member: Location) => [member.id, chooseNeighbours(member, members)]));
		const reached = new Set([members[0]?.id ?? '']);
		for (const id of reached) {
			for (const neighbour of neighbours.get(id) ?? []) {
				reached.add(neighbour);
				assert.ok(neighbours.get(neighbour)?.includes(id));
			}
		}

		assert.equal(reached.size, members.length);
		assert.ok(Math.max(...[...neighbours.values()].map(ids => ids.length)) <= maximumNeighbours);
	}), {seed: 1, numRuns: 200});
});
