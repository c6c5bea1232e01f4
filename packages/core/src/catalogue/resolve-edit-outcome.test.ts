import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type StoreOutcome, type TransactionResult} from '../store/transaction.js';
import {type Edit} from './catalogue-state.js';
import {resolveEditOutcome} from './resolve-edit-outcome.js';
import {formatEntry} from './format-entry.js';

const edit: Edit = {
	requestId: 'mine', operator: 'ann', section: 'teams', name: 'main', value: {}, baseRevision: 7,
};

function answer(succeeded: boolean, requestId?: string, earlier: string[] = []): StoreOutcome<TransactionResult> {
	const path = 'teams/main';
	const stored = requestId === undefined
		? undefined
		: {
			key: path,
			value: formatEntry({
				path, revision: 9, requestId, operator: 'bob', earlier, value: {},
			}),
			modRevision: 30,
		};
	return {ok: true, value: {succeeded, revision: 40, entries: [undefined, stored]}};
}

// Guards against a stored edit that is reported as failed or stored twice, and against a failed one that is reported as accepted.
const cases: ReadonlyArray<{name: string; outcome: StoreOutcome<TransactionResult>; expected: Record<string, unknown>}> = [
	{name: 'stored', outcome: answer(true), expected: {type: 'accepted', revision: 8}},
	{name: 'stored by an earlier attempt whose answer was lost', outcome: answer(false, 'mine'), expected: {type: 'accepted', revision: 9}},
	{name: 'stored by an earlier attempt, then edited by another', outcome: answer(false, 'other', ['mine']), expected: {type: 'accepted', revision: 8}},
	{name: 'another edit came first', outcome: answer(false, 'other'), expected: {type: 'outdated'}},
	{name: 'the head changed', outcome: answer(false), expected: {type: 'outdated'}},
	{name: 'not sent', outcome: {ok: false, reason: 'unavailable'}, expected: {type: 'not-written'}},
	{name: 'answer lost', outcome: {ok: false, reason: 'outcome-unknown'}, expected: {type: 'unknown'}},
];

for (const {name, outcome, expected} of cases) {
	test(`resolves the outcome of an edit: ${name}`, () => {
		assert.deepEqual(resolveEditOutcome(edit, 8, outcome), expected);
	});
}
