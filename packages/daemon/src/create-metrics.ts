import {StatsD} from 'hot-shots';

/** Counts refusals, retries and other events, and answers what it has counted. */
export type Metrics = {
	/** All counters since the start. */
	readonly counters: ReadonlyMap<string, number>;
	count(name: string): void;
	close(): void;
};

/**
 * Creates the counters of a process; with an address they are also sent to a StatsD server.
 *
 * @param options - address of a StatsD server over UDP
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
				// Lost metrics must not affect requests.
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
