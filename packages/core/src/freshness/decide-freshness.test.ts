import assert from 'node:assert/strict';
import {test} from 'node:test';
import {freshnessLimitMs} from '../constants.js';
import {type Contact, decideFreshness} from './decide-freshness.js';

const at = 100_000;
const never = Number.NEGATIVE_INFINITY;
const members = ['a', 'b', 'c', 'd', 'e'];

function peers(count: number, contact: {revision?: number; ageMs?: number; contactAgeMs?: number}): Map<string, Contact> {
	const {revision = 7, ageMs = 100, contactAgeMs = Number.POSITIVE_INFINITY} = contact;
	const reportedAt = at - ageMs;
	return new Map(members.slice(1, count + 1).map(id => [id, {revision, reportedAt, storeContactAt: reportedAt - contactAgeMs}]));
}

// Guards against work under a configuration that may have changed, and against a stop of all work in a store outage.
const cases: ReadonlyArray<{name: string; ownContactAgeMs?: number; contacts: Map<string, Contact>; known?: readonly string[]; current: boolean; away?: boolean}> = [
	{
		name: 'store reachable, no peers', ownContactAgeMs: 300, contacts: new Map(), current: true,
	},
	{
		name: 'store lost too long ago, no peers', ownContactAgeMs: 2001, contacts: new Map(), current: false,
	},
	{
		name: 'just started: nothing known', contacts: new Map(), known: [], current: false,
	},
	{name: 'just started: one peer with store contact', contacts: peers(1, {contactAgeMs: 200}), current: true},
	{name: 'peer with store contact at a higher revision', contacts: peers(1, {revision: 8, contactAgeMs: 200}), current: false},
	{name: 'peer with store contact at a lower revision', contacts: peers(1, {revision: 6, contactAgeMs: 200}), current: true},
	{name: 'peer whose store contact is old', contacts: peers(1, {contactAgeMs: 1950}), current: false},
	{
		name: 'majority without store', ownContactAgeMs: 60_000, contacts: peers(2, {}), current: true, away: true,
	},
	{
		name: 'minority without store', ownContactAgeMs: 60_000, contacts: peers(1, {}), current: false,
	},
	{
		name: 'all others without store', contacts: peers(4, {}), current: true, away: true,
	},
	{
		name: 'majority whose reports are old, as after a pause', ownContactAgeMs: 60_000, contacts: peers(4, {ageMs: 2100}), current: false,
	},
	{name: 'majority whose reports have no date', contacts: peers(4, {ageMs: Number.POSITIVE_INFINITY, contactAgeMs: 0}), current: false},
	{
		name: 'majority without store, one with a higher revision', contacts: new Map([...peers(4, {}), ...peers(1, {revision: 8})]), current: false,
	},
	{
		name: 'majority without store, one undated with a higher revision', contacts: new Map([...peers(4, {}), ...peers(1, {revision: 8, ageMs: Number.POSITIVE_INFINITY, contactAgeMs: 0})]), current: false,
	},
	{
		name: 'majority without store, one with contact', contacts: new Map([...peers(4, {}), ...peers(1, {contactAgeMs: 10})]), current: true,
	},
	{
		name: 'own contact recent, others without', ownContactAgeMs: 100, contacts: peers(4, {}), current: true,
	},
	{
		name: 'only known member', contacts: new Map(), known: ['a'], current: true, away: true,
	},
	{
		name: 'not among the known members', contacts: new Map(), known: ['b'], current: false,
	},
];

for (const {name, ownContactAgeMs, contacts, known = members, current, away = false} of cases) {
	test(`judges the configuration: ${name}`, () => {
		const storeContactAt = ownContactAgeMs === undefined ? never : at - ownContactAgeMs;
		const decision = decideFreshness({revision: 7, storeContactAt}, known, contacts, {self: 'a', at});
		assert.deepEqual({current: at - decision.currentAt <= freshnessLimitMs, away: at - decision.awayAt <= freshnessLimitMs}, {current, away});
	});
}
