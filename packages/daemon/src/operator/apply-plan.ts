import {planRecordSchema} from '@rosemaryquay/core/maintenance/records';
import {
	conditionalWriteSchema, type FleetResponse, type FleetContext, type FleetRequest,
} from './fleet-context.js';
import {createFleetRefusal} from './create-fleet-refusal.js';
import {writeRecord} from './write-record.js';

const bodySchema = conditionalWriteSchema.extend({plan: planRecordSchema});

/**
 * Stores a plan that an operator has reviewed. The planner starts it with its next tick.
 *
 * @param context - the store
 * @param request - body with `plan`, `revision` of the plan that it replaces, and `dryRun`
 * @returns the revision of the stored plan, the summary of a dry run, or the refusal
 * @example
 * const response = await applyPlan(context, {params: {}, body: {plan, revision: 0}});
 */
export async function applyPlan(context: FleetContext, request: FleetRequest): Promise<FleetResponse> {
	const body = bodySchema.safeParse(request.body);
	if (!body.success) {
		return createFleetRefusal('body-malformed', {detail: body.error.message});
	}

	const {plan, revision, dryRun} = body.data;
	if (dryRun) {
		const pools = Object.entries(plan.pools).map(([pool, {waves, concurrency, lent}]) => ({
			pool, waves: waves.length, concurrency, lent: lent.length,
		}));
		return {status: 200, body: {dryRun, pools}};
	}

	return writeRecord(context.store, {key: `${context.prefix}fleet/plan`, value: JSON.stringify({...plan, status: 'running'}), revision});
}
