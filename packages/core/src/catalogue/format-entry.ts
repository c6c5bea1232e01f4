import {type VersionedEntry} from './catalogue-state.js';

/** Entries are immutable; a text is formatted once and compared with each listing. */
const texts = new WeakMap<VersionedEntry, string>();

/**
 * Formats an entry's document.
 *
 * @param entry - the entry
 * @returns the text
 * @example
 * const value = formatEntry(entry);
 */
export function formatEntry(entry: VersionedEntry): string {
	const known = texts.get(entry);
	if (known !== undefined) {
		return known;
	}

	const {
		revision, requestId, operator, earlier, value,
	} = entry;
	const text = JSON.stringify({
		revision, requestId, operator, earlier, value,
	});
	texts.set(entry, text);
	return text;
}
