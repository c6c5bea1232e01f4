import {headSchema} from './document-schema.js';
import {parseJson} from './parse-json.js';

/**
 * Parses the head of the catalogue.
 *
 * @param text - the stored text
 * @returns the revision, 0 for an absent or malformed head
 * @example
 * parseHead('{"revision":7,"requestId":"e-1"}'); // 7
 */
export function parseHead(text: string | undefined): number {
	const json = text === undefined ? undefined : parseJson(text);
	const parsed = json?.ok === true ? headSchema.safeParse(json.value) : undefined;
	return parsed?.success === true ? parsed.data.revision : 0;
}
