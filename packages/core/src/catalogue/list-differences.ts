import {type Difference} from './catalogue-state.js';

function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Lists the fields in which a stored entry differs from an edited one.
 *
 * @param stored - the value in the store
 * @param edited - the value of the edit
 * @param path - path of the two values, prefixed to the paths in the result
 * @returns one element for each differing field
 * @example
 * listDifferences({share: 1}, {share: 2}); // [{path: 'share', stored: 1, edited: 2}]
 */
export function listDifferences(stored: unknown, edited: unknown, path = ''): Difference[] {
	if (isRecord(stored) && isRecord(edited)) {
		const names = new Set([...Object.keys(stored), ...Object.keys(edited)]);
		return [...names].toSorted().flatMap(name => listDifferences(stored[name], edited[name], path === '' ? name : `${path}.${name}`));
	}

	return JSON.stringify(stored) === JSON.stringify(edited) ? [] : [{path, stored, edited}];
}
