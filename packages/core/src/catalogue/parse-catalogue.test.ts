import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseCatalogue} from './parse-catalogue.js';

const owner = 'operations';

// Guards against a faulty catalogue that is accepted in part, or reported without the path of the fault.
const faults: ReadonlyArray<{name: string; document: unknown; path: string}> = [
	{name: 'unknown section', document: {teamz: {}}, path: 'teamz'},
	{name: 'unknown key', document: {zones: {a: {owner, region: 'r', colour: 'red'}}}, path: 'zones.a.colour'},
	{name: 'wrong type', document: {zones: {a: {owner, region: 7}}}, path: 'zones.a.region'},
	{
		name: 'missing organisation', document: {
			teams: {
				t: {
					owner, organisation: 'none', share: 1, limits: {running: 1},
				},
			},
		}, path: 'teams.t.organisation',
	},
	{name: 'missing pool', document: {services: {s: {owner, pool: 'none', limits: {unavailable: 1}}}}, path: 'services.s.pool'},
	{name: 'not a mapping', document: [], path: ''},
];

for (const {name, document, path} of faults) {
	test(`reports the path of a fault: ${name}`, () => {
		const parsed = parseCatalogue(document);
		assert.equal(parsed.ok, false);
		assert.ok(!parsed.ok && parsed.problems.some(problem => problem.path === path), JSON.stringify(parsed));
	});
}
