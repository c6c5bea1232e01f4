/** Demand of one team and its weight. */
export type Claim = {
	readonly demand: number;
	readonly weight: number;
};

/**
 * Divides a capacity by weighted max-min fairness: no team gets more than its demand, and what a
 * team leaves unused goes to the others in proportion to their weights.
 *
 * @param claims - demand and weight by team; weights are positive
 * @param capacity - slots to divide, at least 0
 * @returns slots by team; fractions occur, and the sum is the lesser of capacity and demand
 * @example
 * divideCapacity(new Map([['a', {demand: 9, weight: 1}], ['b', {demand: 2, weight: 1}]]), 8); // a: 6, b: 2
 */
export function divideCapacity(claims: ReadonlyMap<string, Claim>, capacity: number): Map<string, number> {
	const shares = new Map<string, number>();
	const byNeed = [...claims].toSorted(([, a], [, b]) => (a.demand / a.weight) - (b.demand / b.weight));
	let left = capacity;
	let weightLeft = byNeed.reduce((sum, [, claim]) => sum + claim.weight, 0);
	for (const [team, {demand, weight}] of byNeed) {
		const share = Math.min(demand, weightLeft > 0 ? (left * weight) / weightLeft : 0);
		shares.set(team, share);
		left -= share;
		weightLeft -= weight;
	}

	return shares;
}
