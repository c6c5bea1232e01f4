import {Writable} from 'node:stream';

/** Output that may be buffered for a slow reader of the log; lines beyond it are dropped and counted. */
const maximumPendingBytes = 256 * 1024;

type LogTarget = {readonly writableLength: number; write(chunk: unknown): boolean};

/**
 * Creates a non-blocking stream for log lines with a bounded buffer. After lines were dropped, the next line that fits
 * is followed by a `lines-omitted` line with their number.
 *
 * @param target - where lines are written, for example standard output
 * @returns the stream
 * @example
 * createLogger({name: 'entry-1', stream: createLogStream(process.stdout)});
 */
export function createLogStream(target: LogTarget): Writable {
	let omitted = 0;
	return new Writable({
		decodeStrings: false,
		write(chunk, _encoding, callback) {
			if (target.writableLength > maximumPendingBytes) {
				omitted++;
			} else {
				target.write(chunk);
				if (omitted > 0) {
					// Number and level (warn) of `lines-omitted` in log-events.ts; this line bypasses the logger.
					target.write(`${JSON.stringify({
						event: 'lines-omitted', number: 106, level: 40, omitted,
					})}\n`);
					omitted = 0;
				}
			}

			callback();
		},
	});
}
