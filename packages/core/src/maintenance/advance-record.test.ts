import assert from 'node:assert/strict';
import {test} from 'node:test';
import {advanceRecord, type Progress} from './advance-record.js';
import {createPlanner} from './create-planner.js';
import {type InstanceRecord} from './records.js';

const {settings} = createPlanner({id: 'p', prefix: 'x/'});
const base: InstanceRecord = {
	pool: 'web', zone: 'z', rack: 'r', state: 'draining', step: 'maintain', generation: 4, maintainedAt: 0, deadlineAt: 1000, failedReboots: 0,
};

// Guards against an instance that stays out for ever, is interrupted before its deadline, or comes back although it does not work.
const cases: ReadonlyArray<{name: string; record?: Partial<InstanceRecord>; progress?: Partial<Progress>; expected: string}> = [
	{name: 'work still running', progress: {action: 'running'}, expected: 'unchanged'},
	{name: 'work finished', progress: {action: 'done'}, expected: 'rebooting 5'},
	{name: 'deadline passed', progress: {action: 'unknown', utcMs: 1000}, expected: 'rebooting 5'},
	{name: 'budget needed', progress: {action: 'done', undo: true}, expected: 'drained 5 return'},
	{
		name: 'lost answer of a reboot', record: {state: 'rebooting'}, progress: {action: 'unknown'}, expected: 'unchanged',
	},
	{
		name: 'reboot done', record: {state: 'rebooting'}, progress: {action: 'done'}, expected: 'drained 5 return',
	},
	{
		name: 'reboot failed', record: {state: 'rebooting'}, progress: {action: 'failed'}, expected: 'rebooting 5 maintain',
	},
	{
		name: 'reboot never ends', record: {state: 'rebooting'}, progress: {action: 'running', utcMs: 1000}, expected: 'rebooting 5 maintain',
	},
	{
		name: 'last reboot failed', record: {state: 'rebooting', failedReboots: 2}, progress: {action: 'failed'}, expected: 'suspect 5 maintain',
	},
	{
		name: 'move whose end is unknown', record: {state: 'moving', step: 'move', target: 'db'}, progress: {action: 'unknown', utcMs: 9e9}, expected: 'unchanged',
	},
	{
		name: 'move done', record: {state: 'moving', step: 'move', target: 'db'}, progress: {action: 'done'}, expected: 'drained 5 arrive db',
	},
	{
		name: 'loan done', record: {state: 'moving', step: 'lend', target: 'db'}, progress: {action: 'done'}, expected: 'drained 5 arrive db home web',
	},
	{
		name: 'undrain done', record: {state: 'drained', step: 'return'}, progress: {action: 'done'}, expected: 'in-service 4',
	},
	{
		name: 'undrain failed', record: {state: 'drained', step: 'return'}, progress: {action: 'failed'}, expected: 'suspect 5 return',
	},
	{
		name: 'held', record: {state: 'drained', step: 'hold'}, progress: {action: 'done'}, expected: 'unchanged',
	},
	{
		name: 'suspect', record: {state: 'suspect'}, progress: {action: 'done'}, expected: 'unchanged',
	},
	{name: 'suspect that an operator returns', record: {state: 'suspect', requested: 'return'}, expected: 'drained 5 return'},
];

function describe(next: InstanceRecord | undefined): string {
	if (next === undefined) {
		return 'unchanged';
	}

	const parts = [next.state, next.generation, next.step, ...(next.pool === 'web' ? [] : [next.pool]), ...(next.home === undefined ? [] : ['home', next.home])];
	return parts.filter(part => part !== undefined).join(' ');
}

for (const {name, record = {}, progress = {}, expected} of cases) {
	test(`advances a record: ${name}`, () => {
		const next = advanceRecord({...base, ...record}, {
			utcMs: 10, action: undefined, undo: false, ...progress,
		}, settings);
		assert.ok(describe(next).startsWith(expected), describe(next));
	});
}
