import {formatTable} from '../format-table.js';

/**
 * Formats rows under a heading.
 *
 * @param heading - name of what is listed
 * @param rows - objects with the same keys
 * @returns the lines
 * @example
 * formatSection('Pools', [{pool: 'planner', spare: false}]);
 */
export function formatSection(heading: string, rows: ReadonlyArray<Record<string, unknown>>): string[] {
	return [`${heading} (${rows.length})`, ...formatTable(rows).map(line => `  ${line}`), ''];
}
