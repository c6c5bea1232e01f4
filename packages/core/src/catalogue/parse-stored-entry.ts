import {type VersionedEntry} from './catalogue-state.js';
import {entrySchema} from './document-schema.js';
import {parseJson} from './parse-json.js';

/** A versioned document, the bare value of a direct write, or text that is not JSON. */
export type StoredEntry =
	| {readonly type: 'versioned'; readonly entry: VersionedEntry}
	| {readonly type: 'direct'; readonly value: unknown}
	| {readonly type: 'malformed'};

/**
 * Parses one stored entry of the catalogue.
 *
 * @param path - `<section>/<name>`
 * @param text - the stored text
 * @returns the versioned entry, the bare value of a direct write, or `malformed`
 * @example
 * parseStoredEntry('zones/zone-a', '{"owner":"operations","region":"main"}').type; // 'direct'
 */
export function parseStoredEntry(path: string, text: string): StoredEntry {
	const json = parseJson(text);
	if (!json.ok) {
		return {type: 'malformed'};
	}

	const parsed = entrySchema.safeParse(json.value);
	return parsed.success && parsed.data.value !== undefined
		? {type: 'versioned', entry: {path, ...parsed.data}}
		: {type: 'direct', value: json.value};
}
