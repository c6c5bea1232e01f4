/** An estimate in log space with its variance. */
export type Evidence = {readonly mean: number; readonly variance: number};

/**
 * Combines independent estimates of the same quantity, each weighted by its precision.
 *
 * @param parts - the estimates
 * @returns the combined estimate; undefined without parts
 * @example
 * combineEvidence([{mean: 1, variance: 1}, {mean: 3, variance: 1}]); // {mean: 2, variance: 0.5}
 */
export function combineEvidence(parts: readonly Evidence[]): Evidence | undefined {
	let precision = 0;
	let sum = 0;
	for (const {mean, variance} of parts) {
		precision += 1 / variance;
		sum += mean / variance;
	}

	return precision === 0 ? undefined : {mean: sum / precision, variance: 1 / precision};
}
