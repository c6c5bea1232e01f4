import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findViolations} from './find-violations.js';
import {type TraceLine} from './trace-line.js';

const name = 'entry-1';

function configure(at: number, options: {revision?: number; keys?: Array<[string, string]>; withdrawn?: string[]; limit?: number} = {}): TraceLine {
	const {revision = 1, keys = [['k', 'main']], withdrawn = [], limit = 2} = options;
	return {
		event: 'trace-configuration', name, at, revision, limits: {main: limit}, keys, withdrawn,
	};
}

function start(at: number, id: string, options: {repeatable?: boolean; requestId?: string; idempotencyKey?: string} = {}): TraceLine {
	const {repeatable = true, requestId = `r-${id}`, idempotencyKey} = options;
	return {
		event: 'trace-started', name, at, attemptId: id, requestId, workerId: 'w', zone: 'zone-a', team: 'main', repeatable, ...(idempotencyKey !== undefined && {idempotencyKey}),
	};
}

function end(at: number, id: string, outcome = 'succeeded', requestId = `r-${id}`): TraceLine {
	return {
		event: 'trace-ended', name, at, attemptId: id, requestId, outcome,
	};
}

function refuse(at: number, requestId: string, execution: string): TraceLine {
	return {
		event: 'trace-refused', name, at, requestId, reason: 'x', execution,
	};
}

function admit(at: number): TraceLine {
	return {
		event: 'trace-admitted', name, at, requestId: 'r', key: 'k',
	};
}

function answer(at: number): TraceLine {
	return {
		event: 'trace-answered', name, at, requestId: 'r', attemptId: 'a',
	};
}

// Guards against an audit that passes a broken promise or accuses a kept one.
const cases: ReadonlyArray<{name: string; lines: TraceLine[]; promises: string[]}> = [
	{name: 'limit exceeded', lines: [configure(0), start(1, 'a'), start(2, 'b'), start(3, 'c')], promises: ['P4']},
	{name: 'limit kept', lines: [configure(0), start(1, 'a'), start(2, 'b'), end(3, 'a'), start(4, 'c')], promises: []},
	{name: 'revoked key used late', lines: [configure(0), configure(10, {revision: 2, keys: []}), admit(3011)], promises: ['P3']},
	{name: 'revoked key used within the limit', lines: [configure(0), configure(10, {revision: 2, keys: []}), admit(3009)], promises: []},
	{name: 'late start in a withdrawn zone', lines: [configure(0), configure(10, {revision: 2, withdrawn: ['zone-a']}), start(3011, 'a')], promises: ['P5']},
	{name: 'restored zone', lines: [configure(0, {withdrawn: ['zone-a']}), configure(10, {revision: 2}), start(9000, 'a')], promises: []},
	{name: 'revision went down', lines: [configure(0, {revision: 5}), configure(1, {revision: 4})], promises: ['P11']},
	{name: 'untrue not run', lines: [configure(0), start(1, 'a'), end(2, 'a', 'lost'), refuse(3, 'r-a', 'not run')], promises: ['P7']},
	{name: 'true not run', lines: [configure(0), start(1, 'a'), end(2, 'a', 'not-started'), refuse(3, 'r-a', 'not run')], promises: []},
	{
		name: 'second run', promises: ['P8'],
		lines: [configure(0), start(1, 'a', {repeatable: false, requestId: 'r'}), end(2, 'a', 'lost', 'r'), start(3, 'b', {repeatable: false, requestId: 'r'})],
	},
	{
		name: 'second run by idempotency key', promises: ['P8'],
		lines: [configure(0), start(1, 'a', {repeatable: false, idempotencyKey: 'i'}), end(2, 'a'), start(3, 'b', {repeatable: false, idempotencyKey: 'i'})],
	},
	{name: 'answered twice', lines: [answer(1), answer(2)], promises: ['P6']},
];

for (const {name: title, lines, promises} of cases) {
	test(`audits a trace: ${title}`, () => {
		assert.deepEqual(findViolations(lines).map(violation => violation.promise), promises);
	});
}
