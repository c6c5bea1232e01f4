import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {parseSettings} from '../settings/parse-settings.js';
import {parseCatalogue} from './parse-catalogue.js';
import {sectionSchemas} from './schema.js';

const section = fc.constantFrom(...Object.keys(sectionSchemas), '__proto__', 'constructor');

// Guards against a document that throws, pollutes prototypes, or is accepted with dangling references.
test('parses any catalogue document to a catalogue or problems', () => {
	fc.assert(fc.property(fc.dictionary(section, fc.dictionary(fc.string(), fc.anything({withNullPrototype: true}))), document => {
		const parsed = parseCatalogue(document);
		if (!parsed.ok) {
			assert.ok(parsed.problems.length > 0);
			return;
		}

		for (const {organisation} of Object.values(parsed.catalogue.teams)) {
			assert.ok(Object.hasOwn(parsed.catalogue.organisations, organisation));
		}
	}), {seed: 21, numRuns: 400});
	const plain: Record<string, unknown> = {};
	assert.equal(plain.owner, undefined);
});

test('parses any text as settings to settings or problems', () => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), fc.string({unit: 'binary'})), text => {
		const parsed = parseSettings(text);
		assert.ok(parsed.ok || parsed.problems.length > 0);
	}), {seed: 22, numRuns: 400});
});
