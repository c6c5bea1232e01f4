import {type Comparison, type Entry} from '../store/transaction.js';

/**
 * Builds the comparison of a key with what was last seen of it, by revision and value.
 *
 * @param view - the store's entries by key, as last seen
 * @param key - the key
 * @returns the comparison
 * @example
 * const compare = [compareWithView(view, 'rosemaryquay/catalogue/head')];
 */
export function compareWithView(view: ReadonlyMap<string, Entry>, key: string): Comparison {
	const entry = view.get(key);
	return entry === undefined ? {key, modRevision: 0} : {key, modRevision: entry.modRevision, value: entry.value};
}
