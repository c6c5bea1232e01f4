/**
 * Documents of the catalogue in the store.
 */
import {z} from 'zod';
import {type VersionedEntry} from './catalogue-state.js';

/** Request identifiers kept of earlier edits, so that a lost answer can be resolved after the entry was edited again. */
export const maximumEarlier = 4;

const revisionSchema = z.int().min(1);
const requestIdSchema = z.string().min(1).max(128);

export const entrySchema = z.strictObject({
	revision: revisionSchema,
	requestId: requestIdSchema,
	operator: z.string().max(200),
	earlier: z.array(requestIdSchema).max(maximumEarlier).default([]),
	value: z.unknown(),
});

export const headSchema = z.strictObject({revision: revisionSchema, requestId: requestIdSchema});

/** A document with its revision, a value written without one, or text that is not JSON. */
export type StoredEntry =
	| {readonly type: 'versioned'; readonly entry: VersionedEntry}
	| {readonly type: 'direct'; readonly value: unknown}
	| {readonly type: 'malformed'};

function parseJson(text: string): {ok: true; value: unknown} | {ok: false} {
	try {
		return {ok: true, value: JSON.parse(text)};
	} catch {
		return {ok: false};
	}
}

/**
 * Reads one stored entry of the catalogue.
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

/** Revision of a stored head, 0 for an absent or malformed one. */
export function parseHead(text: string | undefined): number {
	const json = text === undefined ? undefined : parseJson(text);
	const parsed = json?.ok === true ? headSchema.safeParse(json.value) : undefined;
	return parsed?.success === true ? parsed.data.revision : 0;
}

/** Entries are immutable; a text is formatted once and compared with each listing. */
const texts = new WeakMap<VersionedEntry, string>();

/** Text of an entry's document. */
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

/** Text of the head's document. */
export function formatHead(revision: number, requestId: string): string {
	return JSON.stringify({revision, requestId});
}
