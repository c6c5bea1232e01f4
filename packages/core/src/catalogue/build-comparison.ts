import {type Comparison, type Entry} from '../store/transaction.js';

/**
 * Builds the comparison of a key with its last known state, by revision and value.
 *
 * @param view - last known store entries, by key
 * @param key - the key
 * @returns the comparison
 * @example
 * const compare = [buildComparison(view, 'rosemaryquay/catalogue/head')];
 */
export function buildComparison(view: ReadonlyMap<string, Entry>, key: string): Comparison {
	const entry = view.get(key);
	return entry === undefined ? {key, modRevision: 0} : {key, modRevision: entry.modRevision, value: entry.value};
}
