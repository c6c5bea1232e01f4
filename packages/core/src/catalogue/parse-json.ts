/**
 * Parses JSON text.
 *
 * @param text - the text
 * @returns the value, or that there is none
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
