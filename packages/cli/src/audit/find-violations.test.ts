import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findViolations} from './find-violations.js';
import {type TraceLine} from './trace-line.js';

const instance = 'entry-1';

function createConfiguration(at: number, options: {revision?: number; keys?: Array<[string, string]>; withdrawn?: string[]; limit?: number} = {}): TraceLine {
	const {revision = 1, keys = [['k', 'main']], withdrawn = [], limit = 2} = options;
	return {
		event: 'trace-configuration', name: instance, at, revision, limits: {main: limit}, keys, withdrawn,
	};
}

function createStart(at: number, id: string, options: {repeatable?: boolean; requestId?: string; idempotencyKey?: string} = {}): TraceLine {
	const {repeatable = true, requestId = `r-${id}`, idempotencyKey} = options;
	return {
		event: 'trace-started', name: instance, at, attemptId: id, requestId, workerId: 'w', zone: 'zone-a', team: 'main', repeatable, ...(idempotencyKey !== undefined && {idempotencyKey}),
	};
}

function createEnd(at: number, id: string, outcome = 'succeeded', requestId = `r-${id}`): TraceLine {
	return {
		event: 'trace-ended', name: instance, at, attemptId: id, requestId, outcome,
	};
}

function createRefusal(at: number, requestId: string, execution: string): TraceLine {
	return {
		event: 'trace-refused', name: instance, at, requestId, reason: 'x', execution,
	};
}

function createAdmission(at: number): TraceLine {
	return {
		event: 'trace-admitted', name: instance, at, requestId: 'r', key: 'k',
	};
}

function createAnswer(at: number): TraceLine {
	return {
		event: 'trace-answered', name: instance, at, requestId: 'r', attemptId: 'a',
	};
}

// Guards against an audit that misses a broken guarantee or reports one that was kept.
const cases: ReadonlyArray<{title: string; lines: TraceLine[]; promises: string[]}> = [
	{title: 'limit exceeded', lines: [createConfiguration(0), createStart(1, 'a'), createStart(2, 'b'), createStart(3, 'c')], promises: ['P4']},
	{title: 'limit kept', lines: [createConfiguration(0), createStart(1, 'a'), createStart(2, 'b'), createEnd(3, 'a'), createStart(4, 'c')], promises: []},
	{title: 'revoked key admitted after the propagation limit', lines: [createConfiguration(0), createConfiguration(10, {revision: 2, keys: []}), createAdmission(3011)], promises: ['P3']},
	{title: 'revoked key admitted within the propagation limit', lines: [createConfiguration(0), createConfiguration(10, {revision: 2, keys: []}), createAdmission(3009)], promises: []},
	{
		title: 'start in a withdrawn zone after the propagation limit',
		lines: [createConfiguration(0), createConfiguration(10, {revision: 2, withdrawn: ['zone-a']}), createStart(3011, 'a')],
		promises: ['P5'],
	},
	{title: 'start in a restored zone', lines: [createConfiguration(0, {withdrawn: ['zone-a']}), createConfiguration(10, {revision: 2}), createStart(9000, 'a')], promises: []},
	{title: 'lower revision after a higher one', lines: [createConfiguration(0, {revision: 5}), createConfiguration(1, {revision: 4})], promises: ['P11']},
	{
		title: 'refused as not run after an attempt that may have run',
		lines: [createConfiguration(0), createStart(1, 'a'), createEnd(2, 'a', 'lost'), createRefusal(3, 'r-a', 'not run')],
		promises: ['P7'],
	},
	{
		title: 'refused as not run after an attempt that did not start',
		lines: [createConfiguration(0), createStart(1, 'a'), createEnd(2, 'a', 'not-started'), createRefusal(3, 'r-a', 'not run')],
		promises: [],
	},
	{
		title: 'second start of a request that is not repeatable', promises: ['P8'],
		lines: [createConfiguration(0), createStart(1, 'a', {repeatable: false, requestId: 'r'}), createEnd(2, 'a', 'lost', 'r'), createStart(3, 'b', {repeatable: false, requestId: 'r'})],
	},
	{
		title: 'second request started with the same idempotency key', promises: ['P8'],
		lines: [createConfiguration(0), createStart(1, 'a', {repeatable: false, idempotencyKey: 'i'}), createEnd(2, 'a'), createStart(3, 'b', {repeatable: false, idempotencyKey: 'i'})],
	},
	{title: 'request answered twice', lines: [createAnswer(1), createAnswer(2)], promises: ['P6']},
];

for (const {title, lines, promises} of cases) {
	test(`audits a trace: ${title}`, () => {
		assert.deepEqual(findViolations(lines).map(violation => violation.promise), promises);
	});
}
