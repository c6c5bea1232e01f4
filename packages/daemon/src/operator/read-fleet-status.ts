import {type Planner} from '@rosemaryquay/core/maintenance/planner';
import {type FleetResponse, type FleetContext, type FleetRequest} from './fleet-context.js';
import {loadFleetRecords} from './load-fleet-records.js';
import {createFleetRefusal} from './create-fleet-refusal.js';

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
 * Describes the plan, the state of each pool, and the instances that are out of service.
 *
 * @param context - store and catalogue
 * @param request - optional path parameter `instance`, which selects the record and revision of one instance
 * @returns plan status with its revision, counts by pool and state, budgets, and every instance that is out of service, lent, or has a pending request; or the refusal
 * @example
 * const {body} = await readFleetStatus(context, {params: {}, body: undefined});
 */
export async function readFleetStatus(context: FleetContext, request: FleetRequest): Promise<FleetResponse> {
	const fleet = await loadFleetRecords(context);
	if (fleet === undefined) {
		return createFleetRefusal('store-unavailable');
	}

	const {instance} = request.params;
	if (instance !== undefined) {
		const stored = fleet.instances.get(instance);
		return stored === undefined ? createFleetRefusal('instance-unknown') : {status: 200, body: {instance, revision: stored.revision, record: stored.value}};
	}

	const {plan} = fleet;
	return {
		status: 200,
		body: {
			plan: plan === undefined ? null : {id: plan.value.id, status: plan.value.status, createdAt: plan.value.createdAt},
			revision: plan?.revision ?? 0,
			pools: describePools(fleet),
			budgets: Object.fromEntries([...fleet.budgets].map(([service, {value}]) => [service, value.spent])),
			outOfService: Object.fromEntries([...fleet.instancesToReconcile].map(id => [id, fleet.instances.get(id)?.value])),
		},
	};
}
