import assert from 'node:assert/strict';
import {test} from 'node:test';
import {advanceRecord, type TransitionInput} from './advance-record.js';
import {createPlanner} from './create-planner.js';
import {type InstanceRecord} from './records.js';

const {settings} = createPlanner({id: 'p', prefix: 'x/'});
const base: InstanceRecord = {
	pool: 'web', zone: 'z', rack: 'r', state: 'draining', step: 'maintain', generation: 4, maintainedAt: 0, deadlineAt: 1000, failedReboots: 0,
};

// Guards against an instance that stays out of service forever, is interrupted before its drain deadline, or returns to service although its reboot failed.
const cases: ReadonlyArray<{name: string; record?: Partial<InstanceRecord>; input?: Partial<TransitionInput>; expected: string}> = [
	{name: 'drain still running', input: {action: 'running'}, expected: 'unchanged'},
	{name: 'drain done', input: {action: 'done'}, expected: 'rebooting 5'},
	{name: 'drain deadline passed', input: {action: 'unknown', utcMs: 1000}, expected: 'rebooting 5'},
	{name: 'drain undone because the budget is needed', input: {action: 'done', undoDrain: true}, expected: 'drained 5 return'},
	{
		name: 'answer to a reboot lost', record: {state: 'rebooting'}, input: {action: 'unknown'}, expected: 'unchanged',
	},
	{
		name: 'reboot done', record: {state: 'rebooting'}, input: {action: 'done'}, expected: 'drained 5 return',
	},
	{
		name: 'reboot failed', record: {state: 'rebooting'}, input: {action: 'failed'}, expected: 'rebooting 5 maintain',
	},
	{
		name: 'reboot timed out', record: {state: 'rebooting'}, input: {action: 'running', utcMs: 1000}, expected: 'rebooting 5 maintain',
	},
	{
		name: 'last reboot attempt failed', record: {state: 'rebooting', failedReboots: 2}, input: {action: 'failed'}, expected: 'suspect 5 maintain',
	},
	{
		name: 'outcome of a move unknown', record: {state: 'moving', step: 'move', target: 'db'}, input: {action: 'unknown', utcMs: 9e9}, expected: 'unchanged',
	},
	{
		name: 'move done', record: {state: 'moving', step: 'move', target: 'db'}, input: {action: 'done'}, expected: 'drained 5 arrive db',
	},
	{
		name: 'move of a lent instance done', record: {state: 'moving', step: 'lend', target: 'db'}, input: {action: 'done'}, expected: 'drained 5 arrive db home web',
	},
	{
		name: 'undrain done', record: {state: 'drained', step: 'return'}, input: {action: 'done'}, expected: 'in-service 4',
	},
	{
		name: 'undrain failed', record: {state: 'drained', step: 'return'}, input: {action: 'failed'}, expected: 'suspect 5 return',
	},
	{
		name: 'held by an operator', record: {state: 'drained', step: 'hold'}, input: {action: 'done'}, expected: 'unchanged',
	},
	{
		name: 'suspect, no request of an operator', record: {state: 'suspect'}, input: {action: 'done'}, expected: 'unchanged',
	},
	{name: 'suspect, return requested by an operator', record: {state: 'suspect', requested: 'return'}, expected: 'drained 5 return'},
];

function describe(next: InstanceRecord | undefined): string {
	if (next === undefined) {
		return 'unchanged';
	}

	const parts = [next.state, next.generation, next.step, ...(next.pool === 'web' ? [] : [next.pool]), ...(next.home === undefined ? [] : ['home', next.home])];
	return parts.filter(part => part !== undefined).join(' ');
}

for (const {name, record = {}, input = {}, expected} of cases) {
	test(`derives the next record: ${name}`, () => {
		const next = advanceRecord({...base, ...record}, {
			utcMs: 10, action: undefined, undoDrain: false, ...input,
		}, settings);
		assert.ok(describe(next).startsWith(expected), describe(next));
	});
}
