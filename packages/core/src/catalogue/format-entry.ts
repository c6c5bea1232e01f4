import {type VersionedEntry} from './catalogue-state.js';

/** Cache of formatted texts, which are compared with each listing; entries are immutable. */
const textByEntry = new WeakMap<VersionedEntry, string>();

/**
 * Formats an entry as its stored document.
 *
 * @param entry - the entry
 * @returns the JSON text
 * @example
 * const value = formatEntry(entry);
 */
export function formatEntry(entry: VersionedEntry): string {
	const known = textByEntry.get(entry);
	if (known !== undefined) {
		return known;
	}

	const {
		revision, requestId, operator, earlier, value,
	} = entry;
	const text = JSON.stringify({
		revision, requestId, operator, earlier, value,
	});
	textByEntry.set(entry, text);
	return text;
}
