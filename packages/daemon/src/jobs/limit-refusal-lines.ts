import {performance} from 'node:perf_hooks';
import {millisecondsPerSecond} from '@rosemaryquay/core/constants';
import {type Logger} from '../create-logger.js';
import {type LogEvent} from '../log-events.js';

/** Events that callers cause without being served. */
const limitedEvents: ReadonlySet<LogEvent> = new Set<LogEvent>(['call-refused', 'connection-closed']);

/** Time in seconds for which lines may come at a higher rate, after a time with few of them. */
const burstSeconds = 10;

/**
 * Limits the rate of the lines that callers cause without being served. The next line that is written has the number of
 * those left out.
 *
 * @param logger - where lines are written
 * @param options - `linesPerSecond`, and a local monotonic clock in milliseconds
 * @returns the logger
 * @example
 * limitRefusalLines(logger, {linesPerSecond: 200}).log('call-refused', {status: 503});
 */
export function limitRefusalLines(logger: Logger, options: {linesPerSecond: number; readTime?: () => number}): Logger {
	const {linesPerSecond, readTime = () => performance.now()} = options;
	const mostLines = linesPerSecond * burstSeconds;
	let lines = mostLines;
	let readAt = readTime();
	let omitted = 0;
	return {
		log(event, fields) {
			if (!limitedEvents.has(event)) {
				logger.log(event, fields);
				return;
			}

			const now = readTime();
			lines = Math.min(mostLines, lines + ((now - readAt) * linesPerSecond / millisecondsPerSecond));
			readAt = now;
			if (lines < 1) {
				omitted++;
				return;
			}

			lines--;
			logger.log(event, omitted === 0 ? fields : {...fields, omitted});
			omitted = 0;
		},
	};
}
