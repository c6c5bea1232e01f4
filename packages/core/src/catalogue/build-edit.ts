import {type Entry, type Transaction} from '../store/transaction.js';
import {type VersionedEntry} from './catalogue-state.js';
import {buildCatalogueKeys} from './build-catalogue-keys.js';
import {buildComparison} from './build-comparison.js';
import {formatEntry} from './format-entry.js';
import {formatHead} from './format-head.js';

/**
 * Builds the transaction of an edit: a compare-and-swap of the head and the entry against their last
 * known state. The failure branch reads both back, which resolves conflicts and lost answers.
 *
 * @param entry - the entry to store, one revision above the head
 * @param view - last known store entries, by key
 * @param prefix - prefix of all store keys
 * @returns the transaction
 * @example
 * const transaction = buildEdit(entry, view, 'rosemaryquay/');
 */
export function buildEdit(entry: VersionedEntry, view: ReadonlyMap<string, Entry>, prefix: string): Transaction {
	const keys = buildCatalogueKeys(prefix);
	const key = `${keys.sections}${entry.path}`;
	return {
		compare: [buildComparison(view, keys.head), buildComparison(view, key)],
		success: [
			{type: 'put', key, value: formatEntry(entry)},
			{type: 'put', key: keys.head, value: formatHead(entry.revision, entry.requestId)},
		],
		failure: [{type: 'get', key: keys.head}, {type: 'get', key}],
	};
}
