import {setTimeout as delay} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';

export type Load = {
	readonly requestsPerSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly failed: number;
};

const microsecondsPerMillisecond = 1000;
const openLoopStepMs = 1;

type Target = {readonly url: string; readonly path: string; headers(): Record<string, string>};

/**
 * Sends requests to one server for a fixed duration and measures throughput and latency.
 *
 * @param target - URL, path and headers of each request
 * @param options - duration, number of connections, and `requestsPerSecond` for an open loop; a closed loop without it
 * @returns throughput, latency in milliseconds, and the number of responses with a status other than 200
 * @example
 * const load = await runLoad(target, {durationMs: 3000, connections: 32});
 */
export async function runLoad(target: Target, options: {durationMs: number; connections: number; requestsPerSecond?: number}): Promise<Load> {
	const {durationMs, connections, requestsPerSecond} = options;
	const pool = new Pool(target.url, {connections});
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	const body = new Uint8Array(256).fill(97);
	let failed = 0;
	const send = async (): Promise<void> => {
		const startedAt = performance.now();
		const response = await pool.request({
			path: target.path, method: 'POST', headers: {'content-type': 'text/plain', ...target.headers()}, body,
		});
		await response.body.arrayBuffer();
		failed += response.statusCode === 200 ? 0 : 1;
		histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * microsecondsPerMillisecond)));
	};

	const startedAt = performance.now();
	const end = startedAt + durationMs;
	if (requestsPerSecond === undefined) {
		await Promise.all(Array.from({length: connections}, async () => {
			while (performance.now() < end) {
				await send();
			}
		}));
	} else {
		const sent: Array<Promise<void>> = [];
		while (performance.now() < end) {
			const due = Math.floor((performance.now() - startedAt) * requestsPerSecond / 1000);
			while (sent.length < due) {
				sent.push(send());
			}

			await delay(openLoopStepMs);
		}

		await Promise.all(sent);
	}

	const seconds = (performance.now() - startedAt) / 1000;
	await pool.close();
	return {
		requestsPerSecond: Math.round(histogram.totalCount / seconds),
		p50Ms: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
		p99Ms: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
		failed,
	};
}
