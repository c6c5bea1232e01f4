import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isMemberLeaseValid} from '@rosemaryquay/core/membership/is-member-lease-valid';
import {isStoreOutageConfirmed} from '@rosemaryquay/core/freshness/is-store-outage-confirmed';
import {isFresh} from '@rosemaryquay/core/freshness/is-fresh';
import {listOutdatedMembers} from '@rosemaryquay/core/membership/list-outdated-members';
import {
	type ControlPump, prefix, revisionOf, startControl,
} from './control-pump.js';
import {listUsers, loadUser} from './load-user.js';

const user = loadUser(listUsers()[0] ?? '');
const [teamName = '', team] = Object.entries(user.catalogue.teams)[0] ?? [];

function edit(pump: ControlPump, node: string, requestId: string, share: number): void {
	pump.deliver(node, {
		type: 'edit-requested', edit: {
			requestId, operator: 'ann', section: 'teams', name: teamName, value: {...team, share}, baseRevision: revisionOf(pump, node),
		},
	});
}

function sharesOf(pump: ControlPump): Set<number | undefined> {
	return new Set([...pump.nodes.values()].map(node => node.snapshot.catalogue.teams[teamName]?.share));
}

test('gives the second of two racing edits a conflict with the difference', () => {
	const pump = startControl(user, {seed: 1});
	edit(pump, 'entry-0', 'e-0', 11);
	edit(pump, 'entry-1', 'e-1', 12);
	pump.run(pump.now + 2000);
	const results = [pump.edits.get('e-0')?.result, pump.edits.get('e-1')?.result];
	assert.deepEqual(results.map(result => result?.type).toSorted((a, b) => (a ?? '').localeCompare(b ?? '')), ['accepted', 'conflict']);
	const conflict = results.find(result => result?.type === 'conflict');
	assert.deepEqual(conflict?.difference.map(difference => difference.path), ['share']);
	assert.equal(sharesOf(pump).size, 1);
});

test('stores an edit once when its answers are lost', () => {
	const pump = startControl(user, {seed: 1});
	const before = revisionOf(pump, 'entry-0');
	pump.storeCondition = {loseAnswers: 0.9};
	edit(pump, 'entry-0', 'e-0', 11);
	pump.run(pump.now + 4000);
	pump.storeCondition = {};
	pump.run(pump.now + 3000);
	assert.equal(pump.edits.get('e-0')?.result.type, 'accepted');
	assert.equal(revisionOf(pump, 'entry-3'), before + 1);
});

// Guards against a direct write that is in force on some instances only, or that breaks the catalogue.
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
	test(`handles a direct write: ${name}`, () => {
		const pump = startControl(user, {seed: 1});
		pump.store.put(`${prefix}catalogue/sections/teams/${teamName}`, value);
		pump.run(pump.now + 3000);
		assert.deepEqual(sharesOf(pump), new Set([share]));
		assert.equal(pump.store.entries.has(`${prefix}catalogue/rejected/teams/${teamName}`), rejected);
	});
}

test('shows a member that vanished, and since when', () => {
	const pump = startControl(user, {seed: 1});
	const stoppedAt = pump.now;
	pump.stop('entry-7');
	pump.run(pump.now + 9000);
	const node = pump.nodes.get('entry-0');
	const since = node?.membership.absentSince.get('entry-7') ?? 0;
	assert.ok(since >= stoppedAt + 2000 && since <= stoppedAt + 7000, String(since));
	assert.equal(node?.membership.records.size, 7);
});

test('knows that its lease may have lapsed and that the store is away for all', () => {
	const pump = startControl(user, {seed: 1});
	pump.storeCondition = {down: true};
	pump.run(pump.now + 8000);
	for (const node of pump.nodes.values()) {
		assert.deepEqual([isMemberLeaseValid(node, pump.now), isStoreOutageConfirmed(node, pump.now), isFresh(node, pump.now)], [false, true, true]);
	}

	pump.storeCondition = {};
	pump.run(pump.now + 4000);
	for (const node of pump.nodes.values()) {
		assert.deepEqual([isMemberLeaseValid(node, pump.now), isStoreOutageConfirmed(node, pump.now), isFresh(node, pump.now)], [true, false, true]);
	}
});

test('stops the work of an instance that is cut off from store and peers', () => {
	const pump = startControl(user, {seed: 1});
	pump.cut(['entry-7'], pump.cutOff);
	pump.run(pump.now + 3000);
	const fresh = [...pump.nodes.values()].filter(node => isFresh(node, pump.now)).map(node => node.id);
	assert.deepEqual(fresh, ['entry-0', 'entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5', 'entry-6']);
});

test('registers again when the store was restored without the member records', () => {
	const pump = startControl(user, {seed: 1});
	pump.storeCondition = {down: true};
	pump.run(pump.now + 1000);
	const backup = pump.store.snapshot();
	pump.store.restore({...backup, entries: backup.entries.filter(entry => !entry.key.startsWith(`${prefix}members/`))});
	pump.storeCondition = {};
	pump.run(pump.now + 5000);
	assert.equal(pump.store.list(`${prefix}members/`).entries.length, 8);
	for (const node of pump.nodes.values()) {
		assert.equal(node.membership.records.size, 8);
	}
});

test('lists the members that do not have a change', () => {
	const pump = startControl(user, {seed: 1});
	pump.cut(['entry-7'], pump.cutOff);
	edit(pump, 'entry-0', 'e-0', 11);
	pump.run(pump.now + 1000);
	const answer = pump.edits.get('e-0');
	const node = pump.nodes.get('entry-0');
	assert.ok(node !== undefined && answer?.result.type === 'accepted');
	const {revision} = answer.result;
	assert.deepEqual(listOutdatedMembers(node, revision, {acceptedAt: answer.at, at: pump.now}), ['entry-7']);
	assert.deepEqual(listOutdatedMembers(node, revision, {acceptedAt: answer.at, at: answer.at + 3000}), []);
});
