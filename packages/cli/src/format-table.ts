/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows - objects with the same keys
 * @returns the lines, a header first; no lines without rows
 * @example
 * formatTable([{team: 'a', share: 1}]); // ['team  share', 'a     1']
 */
export function formatTable(rows: ReadonlyArray<Record<string, unknown>>): string[] {
	const [first] = rows;
	if (first === undefined) {
		return [];
	}

	const columns = Object.keys(first);
	const cells = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_, index) => Math.max(...cells.map(row => row[index]?.length ?? 0)));
	return cells.map(row => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd());
}

function formatCell(value: unknown): string {
	if (value === undefined || value === null) {
		return '';
	}

	return typeof value === 'string' ? value : JSON.stringify(value);
}
