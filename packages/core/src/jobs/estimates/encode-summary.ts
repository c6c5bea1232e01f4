import {type ImageRecord} from '../crashes/image-record.js';
import {type Estimates} from './estimates.js';

/** Largest size of the summary in bytes; the limit of its store entry is 8 kB. */
const maximumLength = 8000;

/**
 * Encodes what was learned for the next owner of the schedule: the latest sketches, as count, median and spread, the
 * slow instances, and what is known of images. What exceeds the size is left out, the oldest first.
 *
 * @param estimates - the state
 * @returns the summary, at most 8 kB
 * @example
 * encodeSummary(scheduler.estimates);
 */
export function encodeSummary({sketches, speeds, images}: Estimates): string {
	const slow: string[] = [];
	let {length} = '{"sketches":[],"slow":[],"images":[]}';
	for (const [instance, {isSlow}] of speeds) {
		const size = measureBytes(instance);
		if (isSlow && length + size <= maximumLength / 2) {
			slow.push(instance);
			length += size;
		}
	}

	const imageRows: Array<[image: string, record: ImageRecord]> = [];
	for (const row of [...images].toReversed().toSorted(compareImages)) {
		const size = measureBytes(row);
		if (length + size <= maximumLength / 2) {
			imageRows.push(row);
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

	return JSON.stringify({sketches: rows.toReversed(), slow, images: imageRows.toReversed()});
}

/** Images that may crash workers come before sound ones. */
function compareImages([, left]: [string, ImageRecord], [, right]: [string, ImageRecord]): number {
	return Number(left === 'sound') - Number(right === 'sound');
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

/** Size of a part with the comma after it. */
function measureBytes(part: unknown): number {
	return new TextEncoder().encode(JSON.stringify(part)).length + 1;
}
