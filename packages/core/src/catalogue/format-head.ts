/**
 * Formats the head of the catalogue as its stored document.
 *
 * @param revision - revision of the catalogue
 * @param requestId - request identifier of the last edit
 * @returns the JSON text
 * @example
 * const value = formatHead(7, 'e-1');
 */
export function formatHead(revision: number, requestId: string): string {
	return JSON.stringify({revision, requestId});
}
