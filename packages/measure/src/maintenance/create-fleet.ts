import {listPoolRules} from '@rosemaryquay/core/maintenance/list-pool-rules';
import {type PoolRules} from '@rosemaryquay/core/maintenance/planner';
import {type User} from '../load-user.js';

/** Fleet of an experiment on the planner. */
export type PlannerFleet = {
	readonly rules: ReadonlyMap<string, PoolRules>;
	readonly sparePools: readonly string[];
	readonly instances: ReadonlyArray<{readonly id: string; readonly pool: string; readonly zone: string; readonly rack: string}>;
};

const instancesPerRack = 4;

/** Fraction of a pool that may be out of service at once in generated fleets. */
const unavailableFraction = 0.04;

const peakHours = [{from: 6, to: 9}, {from: 17, to: 21}];

/**
 * Generates a fleet of a given size; the first pool is the spare pool.
 *
 * @param options - numbers of instances, pools and availability zones
 * @returns the fleet
 * @example
 * const fleet = createFleet({instances: 1700, pools: 22, zones: 25});
 */
export function createFleet(options: {instances: number; pools: number; zones: number}): PlannerFleet {
	const {instances, pools, zones} = options;
	const rules = new Map<string, PoolRules>();
	const members: Array<{id: string; pool: string; zone: string; rack: string}> = [];
	for (let index = 0; index < pools; index++) {
		const pool = `pool-${index}`;
		const count = Math.floor(instances / pools) + (index < instances % pools ? 1 : 0);
		rules.set(pool, {services: [`service-${index}`], maximumUnavailable: Math.max(2, Math.floor(count * unavailableFraction)), peakHours: [peakHours[index % peakHours.length] ?? {from: 6, to: 9}]});
		for (let number = 0; number < count; number++) {
			const rack = Math.floor(number / instancesPerRack);
			const zone = `zone-${rack % zones}`;
			members.push({
				id: `${pool}-${number}`, pool, zone, rack: `${pool}-rack-${rack}`,
			});
		}
	}

	return {rules, sparePools: ['pool-0'], instances: members};
}

/**
 * Creates the fleet of one of the users.
 *
 * @param user - the user
 * @returns the fleet
 * @example
 * const fleet = createUserFleet(loadUser(name));
 */
export const createUserFleet = (user: User): PlannerFleet => ({
	rules: listPoolRules(user.catalogue),
	sparePools: Object.entries(user.catalogue.pools).filter(([, pool]) => pool.spare).map(([name]) => name),
	instances: user.instances.map(({
		id, pool, zone, rack,
	}) => ({
		id, pool, zone, rack,
	})),
});
