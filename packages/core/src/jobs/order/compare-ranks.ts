import {type Rank} from './rank-job.js';

/**
 * Compares two ranks lexicographically.
 *
 * @param left - a rank
 * @param right - another rank
 * @returns a negative number if the left one comes first
 * @example
 * ranks.toSorted(compareRanks);
 */
export function compareRanks(left: Rank, right: Rank): number {
	for (const [position, value] of left.entries()) {
		const difference = value - (right[position] ?? 0);
		if (difference !== 0) {
			return difference;
		}
	}

	return 0;
}
