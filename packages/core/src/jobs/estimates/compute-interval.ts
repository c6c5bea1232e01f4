/** Shortest interval in which progress is measured; reports show whole percents. */
export const minimumIntervalMs = 250;

/** Fraction of the expected run time in which progress is measured; a run that is 8 times slower shows 5 % instead of 40 %. */
const intervalFraction = 0.4;

/**
 * Computes how long a run must progress before it is judged.
 *
 * @param expected - logarithm of the run time of its peers in milliseconds
 * @returns milliseconds
 * @example
 * computeInterval(Math.log(1000)); // 400
 */
export function computeInterval(expected: number): number {
	return Math.max(minimumIntervalMs, intervalFraction * Math.exp(expected));
}
