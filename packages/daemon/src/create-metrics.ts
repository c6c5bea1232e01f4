import {StatsD} from 'hot-shots';

/** Event counters of the process, such as refusals and retries. */
export type Metrics = {
	/** Values of all counters since the process started. */
	readonly counters: ReadonlyMap<string, number>;
	/** Increments a counter. */
	count(name: string): void;
	close(): void;
};

/**
 * Creates the counters of a process; when a host is given, increments are also sent to a StatsD server.
 *
 * @param options - host and UDP port (8125 by default) of the StatsD server
 * @returns the metrics
 * @example
 * createMetrics().count('refusal.queue-full');
 */
export function createMetrics(options: {host?: string; port?: number} = {}): Metrics {
	const {host, port} = options;
	const client = host === undefined
		? undefined
		: new StatsD({
			host, port: port ?? 8125, prefix: 'rosemaryquay.', errorHandler() {
				// Errors of the StatsD client must not affect requests.
			},
		});
	const counters = new Map<string, number>();
	return {
		counters,
		count(name) {
			counters.set(name, (counters.get(name) ?? 0) + 1);
			client?.increment(name);
		},
		close() {
			client?.close(() => undefined);
		},
	};
}
