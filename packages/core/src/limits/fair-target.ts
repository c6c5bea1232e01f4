import {type LimitRecord} from './record.js';

/**
 * Computes a holder's max-min fair part of a limit: small wants are met, the rest is shared equally.
 *
 * @param record - the record
 * @param holder - the holder
 * @returns the part; infinity while the holders together want no more than the limit
 * @example
 * fairTarget(record, 'entry-1');
 */
export function fairTarget(record: LimitRecord, holder: string): number {
	const entries = Object.entries(record.portions).map(([name, {wanted}]) => ({name, wanted}));
	let left = record.limit;
	if (entries.reduce((sum, {wanted}) => sum + wanted, 0) <= left) {
		return Number.POSITIVE_INFINITY;
	}

	entries.sort((a, b) => a.wanted - b.wanted || (a.name < b.name ? -1 : 1));
	for (const [index, {name, wanted}] of entries.entries()) {
		const part = Math.min(wanted, Math.ceil(left / (entries.length - index)));
		if (name === holder) {
			return part;
		}

		left -= part;
	}

	return 0;
}
