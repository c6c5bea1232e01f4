/** Demand of one team, in slots, and its weight. */
export type WeightedDemand = {
	readonly demand: number;
	readonly weight: number;
};

/**
 * Divides a capacity by weighted max-min fairness: no team gets more than its demand, and what a
 * team leaves unused goes to the others in proportion to their weights.
 *
 * @param demands - demand and weight by team; weights are positive
 * @param capacity - slots to divide, at least 0
 * @returns slots by team, possibly fractional; the sum is the lesser of capacity and total demand
 * @example
 * divideCapacity(new Map([['a', {demand: 9, weight: 1}], ['b', {demand: 2, weight: 1}]]), 8); // a: 6, b: 2
 */
export function divideCapacity(demands: ReadonlyMap<string, WeightedDemand>, capacity: number): Map<string, number> {
	const shares = new Map<string, number>();
	const byNormalisedDemand = [...demands].toSorted(([, a], [, b]) => (a.demand / a.weight) - (b.demand / b.weight));
	let remaining = capacity;
	let remainingWeight = byNormalisedDemand.reduce((sum, [, weighted]) => sum + weighted.weight, 0);
	for (const [team, {demand, weight}] of byNormalisedDemand) {
		const share = Math.min(demand, remainingWeight > 0 ? (remaining * weight) / remainingWeight : 0);
		shares.set(team, share);
		remaining -= share;
		remainingWeight -= weight;
	}

	return shares;
}
