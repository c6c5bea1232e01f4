import {z} from 'zod';
import {createPlan} from '@rosemaryquay/core/maintenance/create-plan';
import {type FleetResponse, type FleetContext, type FleetRequest} from './fleet-context.js';
import {loadFleetRecords} from './load-fleet-records.js';
import {createFleetRefusal} from './create-fleet-refusal.js';

const bodySchema = z.strictObject({
	weights: z.strictObject({buffer: z.number().min(0), rollOutTime: z.number().min(0), moves: z.number().min(0)}).optional(),
	stepMs: z.int().min(1000).optional(),
});

/**
 * Creates a plan and its forecast without storing the plan.
 *
 * @param context - store, catalogue and default weights
 * @param request - body with `weights` and `stepMs`, both optional
 * @returns the plan, its forecast, and the plan revision to pass to `apply`; or the refusal
 * @example
 * const {body} = await createFleetPlan(context, {params: {}, body: {}});
 */
export async function createFleetPlan(context: FleetContext, request: FleetRequest): Promise<FleetResponse> {
	const body = bodySchema.safeParse(request.body);
	if (!body.success) {
		return createFleetRefusal('body-malformed', {detail: body.error.message});
	}

	const fleet = await loadFleetRecords(context);
	if (fleet === undefined) {
		return createFleetRefusal('store-unavailable');
	}

	const {catalogue, utcMs} = context;
	const {weights = context.weights, stepMs = context.stepMs} = body.data;
	const records = new Map([...fleet.instances].map(([id, {value}]) => [id, value]));
	const sparePools = Object.entries(catalogue.pools).filter(([, pool]) => pool.spare).map(([name]) => name);
	const created = createPlan(records, {
		id: `plan-${utcMs}`, utcMs, pools: fleet.rulesByPool, sparePools, weights, stepMs,
	});
	return {status: 200, body: {...created, revision: fleet.plan?.revision ?? 0}};
}
