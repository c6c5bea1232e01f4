import {type LogLine} from './find-log-lines.js';

/** Fields that every line has; the others tell what happened. */
const commonFields = new Set(['name', 'hostname', 'pid', 'level', 'event', 'number', 'msg', 'time', 'v']);

/**
 * Formats a line for a reader: time, process, event, and the fields that decided.
 *
 * @param line - the line
 * @returns the text
 * @example
 * findLogLines(texts, id).lines.map(line => formatLogLine(line));
 */
export function formatLogLine(line: LogLine): string {
	const fields = Object.entries(line).filter(([name]) => !commonFields.has(name)).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
	return [line.time, line.name, line.event, ...fields].join('  ');
}
