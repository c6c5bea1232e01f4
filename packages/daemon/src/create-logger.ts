import {type Writable} from 'node:stream';
import Bunyan from 'bunyan';
import {logEvents, type Level, type LogEvent} from './log-events.js';

/** Writes the log events of `log-events.ts`. */
export type Logger = {
	log(event: LogEvent, fields?: Record<string, unknown>): void;
};

/**
 * Creates a logger for the events of `log-events.ts`.
 *
 * @param options - name of the process, lowest level to write (`info` by default) and output stream (standard output by default)
 * @returns the logger
 * @example
 * createLogger({name: 'entry-1'}).log('process-started', {pid: 1});
 */
export function createLogger(options: {name: string; level?: Level; stream?: Writable}): Logger {
	const {name, level = 'info', stream} = options;
	const bunyanLogger = Bunyan.createLogger({name, level, ...(stream === undefined ? {} : {stream})});
	return {
		log(event, fields = {}) {
			const {number, level: eventLevel, text} = logEvents[event];
			bunyanLogger[eventLevel]({...fields, event, number}, text);
		},
	};
}
