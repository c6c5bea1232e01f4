import {z} from 'zod';
import {createPlan} from '@rosemaryquay/core/maintenance/create-plan';
import {type FleetAnswer, type FleetContext, type FleetRequest} from './fleet-context.js';
import {loadFleet} from './fleet-load.js';
import {refuseFleet} from './fleet-refuse.js';

const bodySchema = z.strictObject({
	weights: z.strictObject({buffer: z.number().min(0), rollOutTime: z.number().min(0), moves: z.number().min(0)}).optional(),
	stepMs: z.int().min(1000).optional(),
});

/**
 * Creates a plan and its forecast without storing it.
 *
 * @param context - store, catalogue and default weights
 * @param request - body with `weights` and `stepMs`, both optional
 * @returns the plan, the forecast, and the revision that `apply` is to name
 * @example
 * const {body} = await planFleet(context, {params: {}, body: {}});
 */
export async function planFleet(context: FleetContext, request: FleetRequest): Promise<FleetAnswer> {
	const body = bodySchema.safeParse(request.body);
	if (!body.success) {
		return refuseFleet('body-malformed', {detail: body.error.message});
	}

	const fleet = await loadFleet(context);
	if (fleet === undefined) {
		return refuseFleet('store-unavailable');
	}

	const {catalogue, utcMs} = context;
	const {weights = context.weights, stepMs = context.stepMs} = body.data;
	const records = new Map([...fleet.instances].map(([id, {value}]) => [id, value]));
	const spares = Object.entries(catalogue.pools).filter(([, pool]) => pool.spare).map(([name]) => name);
	const created = createPlan(records, {
		id: `plan-${utcMs}`, utcMs, pools: fleet.pools, spares, weights, stepMs,
	});
	return {status: 200, body: {...created, revision: fleet.plan?.revision ?? 0}};
}
