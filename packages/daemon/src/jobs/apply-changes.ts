import {type Change, type Entry} from '@rosemaryquay/core/store/transaction';

/**
 * Applies changes to a map of entries by key.
 *
 * @param entries - the entries; changed
 * @param changes - what the store reports
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
