import assert from 'node:assert/strict';
import {test} from 'node:test';
import {freshnessLimitMs} from '../constants.js';
import {type MemberStatus, decideFreshness} from './decide-freshness.js';

const at = 100_000;
const never = Number.NEGATIVE_INFINITY;
const members = ['a', 'b', 'c', 'd', 'e'];

function createReports(count: number, contact: {revision?: number; ageMs?: number; contactAgeMs?: number}): Map<string, MemberStatus> {
	const {revision = 7, ageMs = 100, contactAgeMs = Number.POSITIVE_INFINITY} = contact;
	const reportedAt = at - ageMs;
	return new Map(members.slice(1, count + 1).map(id => [id, {revision, reportedAt, storeContactAt: reportedAt - contactAgeMs}]));
}

// Guards against work that starts under an outdated configuration, and against a store outage that stops all work.
const cases: ReadonlyArray<{name: string; ownContactAgeMs?: number; reports: Map<string, MemberStatus>; known?: readonly string[]; current: boolean; outage?: boolean}> = [
	{
		name: 'store reachable, no other members', ownContactAgeMs: 300, reports: new Map(), current: true,
	},
	{
		name: 'store contact older than the limit, no other members', ownContactAgeMs: 2001, reports: new Map(), current: false,
	},
	{
		name: 'just started: nothing known', reports: new Map(), known: [], current: false,
	},
	{name: 'just started: one member with store contact', reports: createReports(1, {contactAgeMs: 200}), current: true},
	{name: 'member with store contact at a higher revision', reports: createReports(1, {revision: 8, contactAgeMs: 200}), current: false},
	{name: 'member with store contact at a lower revision', reports: createReports(1, {revision: 6, contactAgeMs: 200}), current: true},
	{name: 'member whose store contact is old', reports: createReports(1, {contactAgeMs: 1950}), current: false},
	{
		name: 'majority without store', ownContactAgeMs: 60_000, reports: createReports(2, {}), current: true, outage: true,
	},
	{
		name: 'minority without store', ownContactAgeMs: 60_000, reports: createReports(1, {}), current: false,
	},
	{
		name: 'all others without store', reports: createReports(4, {}), current: true, outage: true,
	},
	{
		name: 'majority whose reports are old after a pause of the process', ownContactAgeMs: 60_000, reports: createReports(4, {ageMs: 2100}), current: false,
	},
	{name: 'majority with reports of unknown age', reports: createReports(4, {ageMs: Number.POSITIVE_INFINITY, contactAgeMs: 0}), current: false},
	{
		name: 'majority without store, one with a higher revision', reports: new Map([...createReports(4, {}), ...createReports(1, {revision: 8})]), current: false,
	},
	{
		name: 'majority without store, one report of unknown age with a higher revision', reports: new Map([...createReports(4, {}), ...createReports(1, {revision: 8, ageMs: Number.POSITIVE_INFINITY, contactAgeMs: 0})]), current: false,
	},
	{
		name: 'majority without store, one with contact', reports: new Map([...createReports(4, {}), ...createReports(1, {contactAgeMs: 10})]), current: true,
	},
	{
		name: 'own contact recent, others without', ownContactAgeMs: 100, reports: createReports(4, {}), current: true,
	},
	{
		name: 'only known member', reports: new Map(), known: ['a'], current: true, outage: true,
	},
	{
		name: 'not among the known members', reports: new Map(), known: ['b'], current: false,
	},
];

for (const {name, ownContactAgeMs, reports, known = members, current, outage = false} of cases) {
	test(`decides whether the configuration is current: ${name}`, () => {
		const storeContactAt = ownContactAgeMs === undefined ? never : at - ownContactAgeMs;
		const decision = decideFreshness({revision: 7, storeContactAt}, known, reports, {self: 'a', at});
		assert.deepEqual({current: at - decision.currentAt <= freshnessLimitMs, outage: at - decision.outageConfirmedAt <= freshnessLimitMs}, {current, outage});
	});
}
