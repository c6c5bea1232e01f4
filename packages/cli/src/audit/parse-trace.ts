import {type TraceLine, traceLineSchema} from './trace-line.js';

/**
 * Extracts the trace lines from a daemon's log; other lines are skipped.
 *
 * @param text - log lines, one JSON object each
 * @returns the trace lines and the number of lines with the name of a trace event that could not be parsed
 * @example
 * const {lines, unreadable} = parseTrace(await readFile('entry-1.log', 'utf8'));
 */
export function parseTrace(text: string): {lines: TraceLine[]; unreadable: number} {
	const lines: TraceLine[] = [];
	let unreadable = 0;
	for (const line of text.split('\n')) {
		if (!line.includes('"trace-')) {
			continue;
		}

		try {
			lines.push(traceLineSchema.parse(JSON.parse(line)));
		} catch {
			unreadable += 1;
		}
	}

	return {lines, unreadable};
}
