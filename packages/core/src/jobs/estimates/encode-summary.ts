import {type StoredBursts} from '../pools/stored-bursts.js';
import {type Estimates} from './estimates.js';

/** Largest size of the summary in bytes; the limit of its store entry is 8 kB. */
const maximumLength = 8000;

/**
 * Encodes what was learned for the next owner of the schedule: the latest sketches, as count, median and spread, and the
 * slow instances, and the bursts of the pools. What exceeds the size is left out, the oldest first.
 *
 * @param estimates - the state
 * @param bursts - stored form of the bursts of the pools, if there were any
 * @returns the summary, at most 8 kB
 * @example
 * encodeSummary(scheduler.estimates);
 */
export function encodeSummary({sketches, speeds}: Estimates, bursts?: StoredBursts): string {
	const slow: string[] = [];
	let {length} = '{"sketches":[],"slow":[],"bursts":}';
	// More than a quarter would displace the sketches of jobs, which all pools depend on.
	const keptBursts = measureBytes(bursts ?? {}) <= maximumLength / 4 ? bursts : undefined;
	length += measureBytes(keptBursts ?? {});
	for (const [instance, {isSlow}] of speeds) {
		const size = measureBytes(instance);
		if (isSlow && length + size <= maximumLength / 2) {
			slow.push(instance);
			length += size;
		}
	}

	const rows: Array<[name: string, count: number, median: number, spread: number]> = [];
	for (const [name, {values, median, spread}] of [...sketches].toReversed()) {
		const row: [string, number, number, number] = [name, values.length, round(median), round(spread)];
		const size = measureBytes(row);
		if (length + size > maximumLength) {
			break;
		}

		rows.push(row);
		length += size;
	}

	return JSON.stringify({sketches: rows.toReversed(), slow, bursts: keptBursts});
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

/** Size of a part with the comma after it. */
function measureBytes(part: unknown): number {
	return new TextEncoder().encode(JSON.stringify(part)).length + 1;
}
