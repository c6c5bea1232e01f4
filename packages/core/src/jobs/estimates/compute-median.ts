/**
 * Computes the median.
 *
 * @param values - numbers in any order
 * @returns the median; 0 without values
 * @example
 * computeMedian([3, 1, 2]); // 2
 */
export function computeMedian(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	const upper = Math.floor(sorted.length / 2);
	const value = sorted[upper] ?? 0;
	return sorted.length % 2 === 1 ? value : (value + (sorted[upper - 1] ?? 0)) / 2;
}
