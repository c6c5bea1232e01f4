import {type Planner} from '@rosemaryquay/core/maintenance/planner';
import {type FleetAnswer, type FleetContext, type FleetRequest} from './fleet-context.js';
import {loadFleet} from './fleet-load.js';
import {refuseFleet} from './fleet-refuse.js';

function describePools(fleet: Planner): Record<string, Record<string, number>> {
	const createdAt = fleet.plan?.value.createdAt ?? Number.POSITIVE_INFINITY;
	const pools: Record<string, Record<string, number>> = {};
	for (const {value: {pool, state, maintainedAt}} of fleet.instances.values()) {
		const counts = pools[pool] ?? {};
		pools[pool] = counts;
		counts[state] = (counts[state] ?? 0) + 1;
		counts.maintained = (counts.maintained ?? 0) + (maintainedAt >= createdAt ? 1 : 0);
	}

	return pools;
}

/**
 * Describes the plan, the state of each pool and what is out of service.
 *
 * @param context - store and catalogue
 * @param request - path parameter `instance`, optional, to see the record and revision of one instance
 * @returns plan status with its revision, counts by pool and state, budgets, and every instance that is out of service
 * @example
 * const {body} = await readFleetStatus(context, {params: {}, body: undefined});
 */
export async function readFleetStatus(context: FleetContext, request: FleetRequest): Promise<FleetAnswer> {
	const fleet = await loadFleet(context);
	if (fleet === undefined) {
		return refuseFleet('store-unavailable');
	}

	const {instance} = request.params;
	if (instance !== undefined) {
		const known = fleet.instances.get(instance);
		return known === undefined ? refuseFleet('instance-unknown') : {status: 200, body: {instance, revision: known.revision, record: known.value}};
	}

	const {plan} = fleet;
	return {
		status: 200,
		body: {
			plan: plan === undefined ? null : {id: plan.value.id, status: plan.value.status, createdAt: plan.value.createdAt},
			revision: plan?.revision ?? 0,
			pools: describePools(fleet),
			budgets: Object.fromEntries([...fleet.budgets].map(([service, {value}]) => [service, value.spent])),
			outOfService: Object.fromEntries([...fleet.unsettled].map(id => [id, fleet.instances.get(id)?.value])),
		},
	};
}
