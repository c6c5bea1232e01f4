import {type Catalogue} from '../catalogue/schema.js';
import {type PoolRules} from './planner.js';

/**
 * Derives each pool's availability budget and peak hours from the catalogue. Services that share a pool share its
 * instances, so the smallest of their budgets applies. A pool without services has an unlimited budget.
 *
 * @param catalogue - the current catalogue
 * @returns the rules by pool
 * @example
 * const pools = listPoolRules(snapshot.catalogue);
 */
export function listPoolRules(catalogue: Catalogue): Map<string, PoolRules> {
	const rules = new Map<string, PoolRules>();
	for (const [name, pool] of Object.entries(catalogue.pools)) {
		const services = Object.entries(catalogue.services).filter(([, service]) => service.pool === name);
		rules.set(name, {
			services: services.map(([service]) => service),
			maximumUnavailable: Math.min(Number.POSITIVE_INFINITY, ...services.map(([, service]) => service.limits.unavailable)),
			peakHours: pool.peakHours,
		});
	}

	return rules;
}
