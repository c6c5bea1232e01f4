import {formatTable} from '../format-table.js';

/**
 * Formats rows as a table under a heading with their number.
 *
 * @param heading - what the rows list
 * @param rows - objects with the same keys
 * @returns the lines
 * @example
 * formatSection('Pools', [{pool: 'planner', spare: false}]);
 */
export function formatSection(heading: string, rows: ReadonlyArray<Record<string, unknown>>): string[] {
	return [`${heading} (${rows.length})`, ...formatTable(rows).map(line => `  ${line}`), ''];
}
