import {type Change, type Entry} from '@rosemaryquay/core/store/transaction';

/**
 * Applies changes reported by a watch to a map of entries by key.
 *
 * @param entries - entries by key; modified in place
 * @param changes - changes in the order in which the store reports them
 * @example
 * applyChanges(entries, changes);
 */
export function applyChanges(entries: Map<string, Entry>, changes: readonly Change[]): void {
	for (const {key, value, modRevision} of changes) {
		if (value === undefined) {
			entries.delete(key);
		} else {
			entries.set(key, {key, value, modRevision});
		}
	}
}
