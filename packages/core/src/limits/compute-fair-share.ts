import {type LimitRecord} from './record.js';

/**
 * Computes a holder's max-min fair share of a limit: small demands are met in full, the rest is divided equally.
 *
 * @param record - the record
 * @param holder - the holder
 * @returns the share in slots; infinity while the holders together want no more than the limit
 * @example
 * computeFairShare(record, 'entry-1');
 */
export function computeFairShare(record: LimitRecord, holder: string): number {
	const entries = Object.entries(record.portions).map(([name, {wanted}]) => ({name, wanted}));
	let remaining = record.limit;
	if (entries.reduce((sum, {wanted}) => sum + wanted, 0) <= remaining) {
		return Number.POSITIVE_INFINITY;
	}

	entries.sort((a, b) => a.wanted - b.wanted || (a.name < b.name ? -1 : 1));
	for (const [index, {name, wanted}] of entries.entries()) {
		const share = Math.min(wanted, Math.ceil(remaining / (entries.length - index)));
		if (name === holder) {
			return share;
		}

		remaining -= share;
	}

	return 0;
}
