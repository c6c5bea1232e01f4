import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isMemberLeaseValid} from '@rosemaryquay/core/membership/is-member-lease-valid';
import {isStoreOutageConfirmed} from '@rosemaryquay/core/freshness/is-store-outage-confirmed';
import {isFresh} from '@rosemaryquay/core/freshness/is-fresh';
import {listOutdatedMembers} from '@rosemaryquay/core/membership/list-outdated-members';
import {
	type ControlSimulation, prefix, findRevisionInForce, startControlSimulation,
} from './control-simulation.js';
import {listUsers, loadUser} from './load-user.js';

const user = loadUser(listUsers()[0] ?? '');
const [teamName = '', team] = Object.entries(user.catalogue.teams)[0] ?? [];

function edit(simulation: ControlSimulation, node: string, requestId: string, share: number): void {
	simulation.deliver(node, {
		type: 'edit-requested', edit: {
			requestId, operator: 'ann', section: 'teams', name: teamName, value: {...team, share}, baseRevision: findRevisionInForce(simulation, node),
		},
	});
}

function sharesOf(simulation: ControlSimulation): Set<number | undefined> {
	return new Set([...simulation.nodes.values()].map(node => node.snapshot.catalogue.teams[teamName]?.share));
}

test('answers the second of two concurrent edits with a conflict that shows the difference', () => {
	const simulation = startControlSimulation(user, {seed: 1});
	edit(simulation, 'entry-0', 'e-0', 11);
	edit(simulation, 'entry-1', 'e-1', 12);
	simulation.run(simulation.now + 2000);
	const results = [simulation.edits.get('e-0')?.result, simulation.edits.get('e-1')?.result];
	assert.deepEqual(results.map(result => result?.type).toSorted((a, b) => (a ?? '').localeCompare(b ?? '')), ['accepted', 'conflict']);
	const conflict = results.find(result => result?.type === 'conflict');
	assert.deepEqual(conflict?.difference.map(difference => difference.path), ['share']);
	assert.equal(sharesOf(simulation).size, 1);
});

test('stores an edit once when responses of the store are lost', () => {
	const simulation = startControlSimulation(user, {seed: 1});
	const before = findRevisionInForce(simulation, 'entry-0');
	simulation.storeCondition = {lostResponseProbability: 0.9};
	edit(simulation, 'entry-0', 'e-0', 11);
	simulation.run(simulation.now + 4000);
	simulation.storeCondition = {};
	simulation.run(simulation.now + 3000);
	assert.equal(simulation.edits.get('e-0')?.result.type, 'accepted');
	assert.equal(findRevisionInForce(simulation, 'entry-3'), before + 1);
});

// Guards against a write that bypasses the editor and takes effect on some instances only, or makes the catalogue invalid.
const directWrites = [
	{
		name: 'valid', value: JSON.stringify({...team, share: 13}), share: 13, rejected: false,
	},
	{
		name: 'invalid', value: '{"share":"many"}', share: team?.share, rejected: true,
	},
	{
		name: 'not JSON', value: 'share: 2', share: team?.share, rejected: true,
	},
];

for (const {name, value, share, rejected} of directWrites) {
	test(`applies a valid direct write and rejects others: ${name}`, () => {
		const simulation = startControlSimulation(user, {seed: 1});
		simulation.store.put(`${prefix}catalogue/sections/teams/${teamName}`, value);
		simulation.run(simulation.now + 3000);
		assert.deepEqual(sharesOf(simulation), new Set([share]));
		assert.equal(simulation.store.entries.has(`${prefix}catalogue/rejected/teams/${teamName}`), rejected);
	});
}

test('reports a member as absent, and since when, after it has stopped', () => {
	const simulation = startControlSimulation(user, {seed: 1});
	const stoppedAt = simulation.now;
	simulation.stop('entry-7');
	simulation.run(simulation.now + 9000);
	const node = simulation.nodes.get('entry-0');
	const since = node?.membership.absentSince.get('entry-7') ?? 0;
	assert.ok(since >= stoppedAt + 2000 && since <= stoppedAt + 7000, String(since));
	assert.equal(node?.membership.records.size, 7);
});

test('treats its lease as expired but stays fresh while every member confirms the store outage', () => {
	const simulation = startControlSimulation(user, {seed: 1});
	simulation.storeCondition = {down: true};
	simulation.run(simulation.now + 8000);
	for (const node of simulation.nodes.values()) {
		assert.deepEqual([isMemberLeaseValid(node, simulation.now), isStoreOutageConfirmed(node, simulation.now), isFresh(node, simulation.now)], [false, true, true]);
	}

	simulation.storeCondition = {};
	simulation.run(simulation.now + 4000);
	for (const node of simulation.nodes.values()) {
		assert.deepEqual([isMemberLeaseValid(node, simulation.now), isStoreOutageConfirmed(node, simulation.now), isFresh(node, simulation.now)], [true, false, true]);
	}
});

test('treats only the instance that is isolated from the store and its peers as stale', () => {
	const simulation = startControlSimulation(user, {seed: 1});
	simulation.isolate(['entry-7'], simulation.isolated);
	simulation.run(simulation.now + 3000);
	const fresh = [...simulation.nodes.values()].filter(node => isFresh(node, simulation.now)).map(node => node.id);
	assert.deepEqual(fresh, ['entry-0', 'entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5', 'entry-6']);
});

test('registers again after the store is restored without the member records', () => {
	const simulation = startControlSimulation(user, {seed: 1});
	simulation.storeCondition = {down: true};
	simulation.run(simulation.now + 1000);
	const backup = simulation.store.snapshot();
	simulation.store.restore({...backup, entries: backup.entries.filter(entry => !entry.key.startsWith(`${prefix}members/`))});
	simulation.storeCondition = {};
	simulation.run(simulation.now + 5000);
	assert.equal(simulation.store.list(`${prefix}members/`).entries.length, 8);
	for (const node of simulation.nodes.values()) {
		assert.equal(node.membership.records.size, 8);
	}
});

test('lists the members that have not applied a change', () => {
	const simulation = startControlSimulation(user, {seed: 1});
	simulation.isolate(['entry-7'], simulation.isolated);
	edit(simulation, 'entry-0', 'e-0', 11);
	simulation.run(simulation.now + 1000);
	const answer = simulation.edits.get('e-0');
	const node = simulation.nodes.get('entry-0');
	assert.ok(node !== undefined && answer?.result.type === 'accepted');
	const {revision} = answer.result;
	assert.deepEqual(listOutdatedMembers(node, revision, {acceptedAt: answer.at, at: simulation.now}), ['entry-7']);
	assert.deepEqual(listOutdatedMembers(node, revision, {acceptedAt: answer.at, at: answer.at + 3000}), []);
});
