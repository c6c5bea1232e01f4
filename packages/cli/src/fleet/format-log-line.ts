import {type LogLine} from './find-log-lines.js';

/** Fields that every log line has; all others belong to the event. */
const commonFields = new Set(['name', 'hostname', 'pid', 'level', 'event', 'number', 'msg', 'time', 'v']);

/**
 * Formats a log line as text: time, process, event and the fields of the event.
 *
 * @param line - the log line
 * @returns the text
 * @example
 * findLogLines(texts, id).lines.map(line => formatLogLine(line));
 */
export function formatLogLine(line: LogLine): string {
	const fields = Object.entries(line).filter(([name]) => !commonFields.has(name)).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
	return [line.time, line.name, line.event, ...fields].join('  ');
}
