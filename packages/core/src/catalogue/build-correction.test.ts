import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Entry} from '../store/transaction.js';
import {applyEntries} from './apply-entries.js';
import {buildCorrection} from './build-correction.js';
import {type AcceptedCatalogue, type VersionedEntry} from './catalogue-state.js';
import {formatEntry} from './format-entry.js';
import {formatHead} from './format-head.js';
import {compareWithStore} from './compare-with-store.js';

const prefix = 'p/';
const organisation = {owner: 'operations'};

function entry(name: string, revision: number, options: {requestId?: string; value?: unknown} = {}): VersionedEntry {
	const {requestId = `r-${name}-${revision}`, value = organisation} = options;
	return {
		path: `organisations/${name}`, revision, requestId, operator: 'ann', earlier: [], value,
	};
}

function accept(entries: readonly VersionedEntry[], revision: number): AcceptedCatalogue {
	const applied = applyEntries({revision: 0, entries: new Map()}, entries, revision);
	assert.ok(applied.ok);
	return applied.accepted;
}

/** Store keys below `p/catalogue/`, by the names used in the cases. */
const keys: Readonly<Record<string, string>> = {
	head: 'head', a: 'sections/organisations/a', b: 'sections/organisations/b', c: 'sections/organisations/c', rejectedA: 'rejected/organisations/a', rejectedB: 'rejected/organisations/b', rejectedC: 'rejected/organisations/c',
};

const toStoreKey = (name: string): string => `p/catalogue/${keys[name] ?? ''}`;

function createView(values: Record<string, string>): Map<string, Entry> {
	return new Map(Object.entries(values).map(([name, value], index) => [toStoreKey(name), {key: toStoreKey(name), value, modRevision: index + 1}]));
}

const known = [entry('a', 1), entry('b', 2)];
const [a = '', b = ''] = known.map(item => formatEntry(item));
const head = formatHead(2, 'r');
const conflicting = formatEntry(entry('b', 1, {requestId: 'other'}));

// Guards against edits that stay lost after the store was restored from an older state, and against direct writes that come
// into force without validation or are lost.
const cases: ReadonlyArray<{name: string; store: Record<string, string>; writes: Record<string, string>}> = [
	{name: 'in sync', store: {head, a, b}, writes: {}},
	{name: 'restored without an entry', store: {head: formatHead(1, 'r'), a}, writes: {b: 'revision 2', head: 'revision 2'}},
	{
		name: 'restored, then edited at the old head', store: {head: formatHead(1, 'r'), a, b: conflicting},
		writes: {b: 'revision 2', rejectedB: 'revision 1', head: 'revision 2'},
	},
	{
		name: 'restored, then another entry edited at the old head', store: {head: formatHead(2, 'r'), a, c: formatEntry(entry('c', 2, {requestId: 'other'}))},
		writes: {b: 'revision 3', c: 'revision 3', head: 'revision 3'},
	},
	{name: 'restored to an empty store', store: {}, writes: {a: 'revision 1', b: 'revision 2', head: 'revision 2'}},
	{
		name: 'valid direct write', store: {
			head, a, b, c: '{"owner":"x"}',
		}, writes: {c: 'revision 3', head: 'revision 3'},
	},
	{name: 'direct deletion', store: {head, a}, writes: {b: 'revision 3', head: 'revision 3'}},
	{
		name: 'invalid direct write over an entry', store: {head, a: '{"colour":1}', b},
		writes: {a: 'revision 1', rejectedA: 'value'},
	},
	{
		name: 'direct write that is not JSON', store: {
			head, a, b, c: '{',
		}, writes: {c: 'deleted', rejectedC: 'value'},
	},
	{
		name: 'value changed inside a document', store: {head, a: a.replace('operations', 'others'), b},
		writes: {a: 'revision 3', head: 'revision 3'},
	},
];

for (const {name, store, writes} of cases) {
	test(`corrects the store: ${name}`, () => {
		const accepted = accept(known, 2);
		const view = createView(store);
		const correction = buildCorrection(accepted, view, compareWithStore(accepted, view, prefix), {prefix, requestId: 'c'});
		const found: Record<string, string> = {};
		for (const operation of correction?.transaction.success ?? []) {
			const revision = operation.type === 'put' ? /"revision":(?<value>\d+)/.exec(operation.value)?.groups?.value : undefined;
			const text = revision === undefined ? 'value' : `revision ${revision}`;
			found[Object.keys(keys).find(name => toStoreKey(name) === operation.key) ?? operation.key] = operation.type === 'delete' ? 'deleted' : text;
		}

		assert.deepEqual(found, writes);
		assert.ok(correction === undefined || correction.transaction.compare.some(({key}) => key === 'p/catalogue/head'));
	});
}

test('never lowers a revision when older entries arrive', () => {
	const accepted = accept(known, 2);
	const applied = applyEntries(accepted, [entry('b', 1, {value: null})], 1);
	assert.ok(applied.ok);
	assert.equal(applied.accepted.revision, 2);
	assert.deepEqual(applied.accepted.entries.get('organisations/b'), known[1]);
});

test('keeps the last accepted catalogue when a change makes it invalid', () => {
	assert.equal(applyEntries(accept(known, 2), [entry('b', 3, {value: {colour: 1}})], 3).ok, false);
});
