/**
 * Parses JSON text without throwing.
 *
 * @param text - the text
 * @returns the value, or `ok: false` for malformed text
 * @example
 * const json = parseJson('{}');
 */
export function parseJson(text: string): {ok: true; value: unknown} | {ok: false} {
	try {
		return {ok: true, value: JSON.parse(text)};
	} catch {
		return {ok: false};
	}
}
