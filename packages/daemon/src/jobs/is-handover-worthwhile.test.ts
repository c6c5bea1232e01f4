import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isHandoverWorthwhile} from './is-handover-worthwhile.js';

const sinceLossMs = Number.POSITIVE_INFINITY;

describe('isHandoverWorthwhile', () => {
	it('guards against an owner on a small instance while a larger one is up', () => {
		assert.ok(isHandoverWorthwhile({own: 1, owner: 0.324}, {sinceLossMs}));
	});

	it('guards against takeovers between instances of similar size', () => {
		assert.ok(!isHandoverWorthwhile({own: 1, owner: 0.675}, {sinceLossMs}));
		assert.ok(!isHandoverWorthwhile({own: 0.324, owner: 0.324}, {sinceLossMs}));
	});

	it('guards against taking the schedule back at once after losing it', () => {
		assert.ok(!isHandoverWorthwhile({own: 1, owner: 0.324}, {sinceLossMs: 5000}));
	});
});
