import {type StoreOutcome, type TransactionResult} from '../store/transaction.js';
import {type Edit} from './catalogue-state.js';
import {parseStoredEntry} from './parse-stored-entry.js';

/**
 * Outcome of an edit's transaction. `outdated`: the head or the entry has changed since it was read, so the
 * edit is validated again. `not-written`: the transaction had no effect. `unknown`: its answer was lost. After the last
 * two it is sent again unchanged.
 */
export type EditOutcome =
	| {readonly type: 'accepted'; readonly revision: number}
	| {readonly type: 'outdated'}
	| {readonly type: 'not-written'}
	| {readonly type: 'unknown'};

/**
 * Resolves the outcome of an edit from the answer to its transaction. An edit whose answer was lost is
 * sent again unchanged: if the first attempt took effect, the comparison fails and the stored entry has the request identifier of the edit.
 *
 * @param edit - the edit
 * @param revision - revision that the transaction writes
 * @param outcome - the store's answer
 * @returns the outcome
 * @example
 * const resolved = resolveEditOutcome(edit, 8, outcome);
 */
export function resolveEditOutcome(edit: Edit, revision: number, outcome: StoreOutcome<TransactionResult>): EditOutcome {
	if (!outcome.ok) {
		return outcome.reason === 'unavailable' || outcome.reason === 'invalid' ? {type: 'not-written'} : {type: 'unknown'};
	}

	if (outcome.value.succeeded) {
		return {type: 'accepted', revision};
	}

	const stored = outcome.value.entries[1];
	const parsed = stored === undefined ? undefined : parseStoredEntry(`${edit.section}/${edit.name}`, stored.value);
	if (parsed?.type === 'versioned') {
		const {entry} = parsed;
		if (entry.requestId === edit.requestId) {
			return {type: 'accepted', revision: entry.revision};
		}

		if (entry.earlier.includes(edit.requestId)) {
			return {type: 'accepted', revision};
		}
	}

	return {type: 'outdated'};
}
