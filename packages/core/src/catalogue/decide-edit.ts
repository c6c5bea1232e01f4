import {type StoreOutcome, type TransactionResult} from '../store/transaction.js';
import {type Edit} from './catalogue-state.js';
import {parseStoredEntry} from './parse-stored-entry.js';

/** What the answer to an edit's transaction means. `retry`: the head or the entry has moved. */
export type EditDecision =
	| {readonly type: 'accepted'; readonly revision: number}
	| {readonly type: 'retry'}
	| {readonly type: 'not-written'}
	| {readonly type: 'unknown'};

/**
 * Decides an edit from the answer to its transaction. An edit whose first answer was lost is sent
 * again unchanged: its comparison then fails, and the request identifier in the entry shows that it took effect.
 *
 * @param edit - the edit
 * @param revision - revision that the transaction writes
 * @param outcome - the store's answer
 * @returns the decision
 * @example
 * const decision = decideEdit(edit, 8, outcome);
 */
export function decideEdit(edit: Edit, revision: number, outcome: StoreOutcome<TransactionResult>): EditDecision {
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

	return {type: 'retry'};
}
