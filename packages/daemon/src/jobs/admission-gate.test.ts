import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createJob} from '@rosemaryquay/testing/jobs/create-fleet';
import {AdmissionGate} from './admission-gate.js';
import {admissionKey, ownerKey} from './keys.js';

const owner = {key: ownerKey, value: '', modRevision: 1};
const publishedAtMs = 100_000;

/** Creates a record that refuses all jobs of `createJob`, unless `isEmpty`. */
function createEntry({modRevision = 2, isEmpty = false} = {}) {
	const queues = isEmpty
		? []
		: [{
			name: 'plans', freeCpuMillis: 0, capacityCpuMillis: 1000, organisations: [{name: 'north', waitMs: 60_000, isBeyondShare: false}],
		}];
	const value = JSON.stringify({
		publishedAtMs, term: 1, queues, fence: owner.modRevision,
	});
	return {key: admissionKey, value, modRevision};
}

describe('AdmissionGate', () => {
	it('guards against trusting a record again that was too old, after the wall clock was set back', () => {
		const gate = new AdmissionGate();
		gate.adopt(createEntry(), owner, {now: 0, timeOfDay: publishedAtMs});
		assert.equal(gate.decide(createJob('a'), 2500).type, 'refuse');
		assert.equal(gate.decide(createJob('a'), 2501).type, 'admit');
		gate.adopt(createEntry(), owner, {now: 2501, timeOfDay: publishedAtMs});
		assert.equal(gate.decide(createJob('a'), 2501).type, 'admit');
	});

	it('guards against trusting a record again whose owner was gone', () => {
		const gate = new AdmissionGate();
		gate.adopt(createEntry(), undefined, {now: 0, timeOfDay: publishedAtMs});
		gate.adopt(createEntry(), owner, {now: 0, timeOfDay: publishedAtMs});
		assert.equal(gate.decide(createJob('a'), 0).type, 'admit');
	});

	it('guards against the former record of a store that was restored and assigned its revision again', () => {
		const gate = new AdmissionGate();
		gate.adopt(createEntry(), owner, {now: 0, timeOfDay: publishedAtMs});
		gate.adopt(createEntry({isEmpty: true}), owner, {now: 0, timeOfDay: publishedAtMs});
		assert.equal(gate.decide(createJob('a'), 0).type, 'admit');
	});
});
