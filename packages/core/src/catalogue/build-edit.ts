import {type Entry, type Transaction} from '../store/transaction.js';
import {type VersionedEntry} from './catalogue-state.js';
import {nameKeys} from './name-keys.js';
import {compareWithView} from './compare-with-view.js';
import {formatEntry} from './format-entry.js';
import {formatHead} from './format-head.js';

/**
 * Builds the transaction of an edit: it compares the head and the entry with what was seen and
 * writes both. Its other branch reads both back, which resolves lost answers and conflicts.
 *
 * @param entry - the entry to store, one revision above the head
 * @param view - the store's entries by key, as last seen
 * @param prefix - prefix of the system's keys
 * @returns the transaction
 * @example
 * const transaction = buildEdit(entry, view, 'rosemaryquay/');
 */
export function buildEdit(entry: VersionedEntry, view: ReadonlyMap<string, Entry>, prefix: string): Transaction {
	const keys = nameKeys(prefix);
	const key = `${keys.sections}${entry.path}`;
	return {
		compare: [compareWithView(view, keys.head), compareWithView(view, key)],
		success: [
			{type: 'put', key, value: formatEntry(entry)},
			{type: 'put', key: keys.head, value: formatHead(entry.revision, entry.requestId)},
		],
		failure: [{type: 'get', key: keys.head}, {type: 'get', key}],
	};
}
