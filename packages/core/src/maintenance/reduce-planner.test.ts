import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPlanner} from './create-planner.js';
import {type Planner, type PlannerEffect, type PlannerEvent} from './planner.js';
import {type InstanceRecord, type PlanRecord} from './records.js';
import {reducePlanner} from './reduce-planner.js';

const ids = ['web-1', 'web-2', 'web-3', 'web-4'];
const noon = 12 * 3_600_000;
const serving: InstanceRecord = {
	pool: 'web', zone: 'z', rack: 'r', state: 'in-service', generation: 0, maintainedAt: 0, failedReboots: 0,
};
const plan: PlanRecord = {
	id: 'p', status: 'running', createdAt: 1, pools: {web: {waves: [ids], concurrency: 2, lent: []}},
};

type Setup = {
	readonly records?: Readonly<Record<string, Partial<InstanceRecord>>>;
	readonly spent?: Readonly<Record<string, string>>;
	readonly status?: PlanRecord['status'];
	readonly missing?: readonly string[];
	readonly withdrawn?: readonly string[];
	readonly listAgeMs?: number;
	readonly utcMs?: number;
};

function createLoadedPlanner(setup: Setup = {}): Planner {
	const {
		records = {}, spent = {}, status = 'running', missing = [], withdrawn = [], listAgeMs = 0,
	} = setup;
	const planner = createPlanner({id: 'p-1', prefix: 'x/'});
	const entries = [
		...ids.map((id, index) => ({key: `x/fleet/instances/${id}`, value: JSON.stringify({...serving, ...records[id]}), modRevision: 10 + index})),
		{key: 'x/fleet/budgets/web', value: JSON.stringify({spent}), modRevision: 20},
		{key: 'x/fleet/plan', value: JSON.stringify({...plan, status}), modRevision: 21},
	];
	const at = 1000;
	const events: PlannerEvent[] = [
		{
			type: 'rules-loaded', at: 0, pools: new Map([['web', {services: ['web'], maximumUnavailable: 2, peakHours: [{from: 6, to: 9}]}]]), withdrawn: new Set(withdrawn),
		},
		{type: 'tick', at, utcMs: noon},
		{type: 'lease-granted', at, outcome: {ok: true, value: 'lease'}},
		{
			type: 'store-transacted', at, id: 'claim-1', outcome: {ok: true, value: {succeeded: true, revision: 9, entries: []}},
		},
		{
			type: 'store-listed', at, id: 'load', outcome: {ok: true, value: {revision: 30, entries}},
		},
		{
			type: 'instances-listed',
			at: at - listAgeMs,
			instances: ids.filter(id => !missing.includes(id)).map(id => ({
				id, address: 'http://127.0.0.1:1', zone: 'z', rack: 'r', pool: 'web', state: 'live',
			})),
		},
	];
	for (const event of events) {
		reducePlanner(planner, event);
	}

	return planner;
}

/** Lists the instance records that the transactions among the effects write, as `instance state step`. */
function describeWrites(effects: readonly PlannerEffect[]): string[] {
	return effects.flatMap(effect => (effect.type === 'store-transact' ? effect.transaction.success : [])).flatMap(operation => {
		if (operation.type !== 'put' || !operation.key.startsWith('x/fleet/instances/')) {
			return [];
		}

		const {state, step} = JSON.parse(operation.value) as InstanceRecord;
		return [`${operation.key.slice('x/fleet/instances/'.length)} ${state} ${step ?? ''}`];
	});
}

const draining: Partial<InstanceRecord> = {
	state: 'draining', step: 'maintain', generation: 1, deadlineAt: noon * 2,
};

// Guards against steps that start although failures, a withdrawn availability zone, peak hours, an old instance list or the status of the plan forbid them.
const cases: ReadonlyArray<{name: string; setup: Setup; expected: string[]}> = [
	{name: 'drains two instances within the budget', setup: {}, expected: ['web-1 draining maintain', 'web-2 draining maintain']},
	{name: 'drains one instance when another has failed', setup: {missing: ['web-4']}, expected: ['web-1 draining maintain']},
	{name: 'starts nothing when failures use up the budget', setup: {missing: ['web-3', 'web-4']}, expected: []},
	{name: 'starts nothing in a withdrawn availability zone', setup: {withdrawn: ['z']}, expected: []},
	{name: 'starts nothing when the instance list is too old', setup: {listAgeMs: 30_001}, expected: []},
	{name: 'starts nothing in peak hours', setup: {utcMs: 7 * 3_600_000}, expected: []},
	{name: 'starts nothing that is expected to end in peak hours', setup: {utcMs: (6 * 3_600_000) - 60_000}, expected: []},
	{name: 'starts nothing while the plan is paused', setup: {status: 'paused'}, expected: []},
	{name: 'undoes the drains of an aborted plan', setup: {status: 'aborted', records: {'web-1': draining}, spent: {'web-1': 'maintain'}}, expected: ['web-1 drained return']},
	{
		name: 'undoes a drain when a failure exceeds the budget',
		setup: {records: {'web-1': draining, 'web-2': draining}, spent: {'web-1': 'maintain', 'web-2': 'maintain'}, missing: ['web-4']},
		expected: ['web-1 drained return'],
	},
	{name: 'counts a suspect instance against the budget', setup: {records: {'web-3': {state: 'suspect'}}, spent: {'web-3': 'maintain'}}, expected: ['web-1 draining maintain']},
	{name: 'gives an operator request precedence over the plan', setup: {missing: ['web-3'], records: {'web-2': {requested: 'drain'}}}, expected: ['web-2 draining hold']},
];

for (const {name, setup, expected} of cases) {
	test(`chooses the steps of a tick: ${name}`, () => {
		const planner = createLoadedPlanner(setup);
		assert.deepEqual(describeWrites(reducePlanner(planner, {type: 'tick', at: 1000, utcMs: setup.utcMs ?? noon})), expected);
	});
}

test('writes instance and budget records in one transaction that compares the fencing token', () => {
	const [effect, ...rest] = reducePlanner(createLoadedPlanner(), {type: 'tick', at: 1000, utcMs: noon});
	assert.ok(effect?.type === 'store-transact');
	assert.deepEqual(rest, []);
	assert.deepEqual(effect.transaction.compare, [
		{key: 'x/fleet/planner', modRevision: 9}, {key: 'x/fleet/instances/web-1', modRevision: 10}, {key: 'x/fleet/instances/web-2', modRevision: 11}, {key: 'x/fleet/budgets/web', modRevision: 20},
	]);
	assert.ok(effect.transaction.success.some(operation => operation.type === 'put' && operation.key === 'x/fleet/budgets/web' && operation.value === '{"spent":{"web-1":"maintain","web-2":"maintain"}}'));
});

test('stops acting after a process pause that outlasts its lease', () => {
	const effects = reducePlanner(createLoadedPlanner(), {type: 'tick', at: 60_000, utcMs: noon});
	assert.deepEqual(effects.map(effect => effect.type), ['report']);
});

test('counts the lease validity from when the renewal was sent, not from its late answer', () => {
	const planner = createLoadedPlanner();
	reducePlanner(planner, {type: 'tick', at: 5000, utcMs: noon});
	reducePlanner(planner, {
		type: 'lease-renewed', at: 10_000, leaseId: 'lease', sentAt: 5000, outcome: {ok: true, value: 10_000},
	});
	assert.ok(planner.lease.type === 'held' && planner.lease.validUntil < 15_000);
});

test('stops acting when a transaction shows that another planner holds the planner key', () => {
	const planner = createLoadedPlanner();
	const [effect] = reducePlanner(planner, {type: 'tick', at: 1000, utcMs: noon});
	assert.ok(effect?.type === 'store-transact');
	const effects = reducePlanner(planner, {
		type: 'store-transacted', at: 1001, id: effect.id, outcome: {ok: true, value: {succeeded: false, revision: 40, entries: [{key: 'x/fleet/planner', value: '{}', modRevision: 39}]}},
	});
	assert.deepEqual(effects.map(({type}) => type), ['report']);
	assert.equal(planner.lease.type, 'none');
});

test('resumes a reboot from the record alone: requests it again and reads back a lost answer', () => {
	const rebooting: Partial<InstanceRecord> = {...draining, state: 'rebooting', generation: 2};
	const planner = createLoadedPlanner({records: {'web-1': rebooting}, spent: {'web-1': 'maintain'}, status: 'paused'});
	const tick = (at: number) => reducePlanner(planner, {type: 'tick', at, utcMs: noon}).filter(({type}) => type.endsWith('-action'));
	assert.deepEqual(tick(1000), [{
		type: 'perform-action', instance: 'web-1', generation: 2, action: 'reboot',
	}]);
	reducePlanner(planner, {
		type: 'action-answered', at: 1100, instance: 'web-1', generation: 2, state: 'unknown',
	});
	for (const at of [4000, 7000]) {
		tick(at);
		reducePlanner(planner, {
			type: 'lease-renewed', at, leaseId: 'lease', sentAt: at, outcome: {ok: true, value: 10_000},
		});
	}

	assert.deepEqual(tick(11_100), [{type: 'read-action', instance: 'web-1', generation: 2}]);
});
