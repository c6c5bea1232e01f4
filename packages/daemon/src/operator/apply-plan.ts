import {planRecordSchema} from '@rosemaryquay/core/maintenance/records';
import {
	conditionSchema, type FleetAnswer, type FleetContext, type FleetRequest,
} from './fleet-context.js';
import {refuseFleet} from './fleet-refuse.js';
import {writeFleet} from './fleet-write.js';

const bodySchema = conditionSchema.extend({plan: planRecordSchema});

/**
 * Stores a plan that an operator has seen; the planner begins with its next tick.
 *
 * @param context - the store
 * @param request - body with `plan`, `revision` of the plan that it replaces, and `dryRun`
 * @returns the revision of the stored plan, or the refusal
 * @example
 * const answer = await applyFleet(context, {params: {}, body: {plan, revision: 0}});
 */
export async function applyFleet(context: FleetContext, request: FleetRequest): Promise<FleetAnswer> {
	const body = bodySchema.safeParse(request.body);
	if (!body.success) {
		return refuseFleet('body-malformed', {detail: body.error.message});
	}

	const {plan, revision, dryRun} = body.data;
	if (dryRun) {
		const pools = Object.entries(plan.pools).map(([pool, {waves, concurrency, lent}]) => ({
			pool, waves: waves.length, concurrency, lent: lent.length,
		}));
		return {status: 200, body: {dryRun, pools}};
	}

	return writeFleet(context.store, {key: `${context.prefix}fleet/plan`, value: JSON.stringify({...plan, status: 'running'}), revision});
}
