import {z} from 'zod';
import {controlPlan} from '@rosemaryquay/core/maintenance/control-plan';
import {
	conditionSchema, type FleetAnswer, type FleetContext, type FleetRequest,
} from './fleet-context.js';
import {loadFleet} from './fleet-load.js';
import {refuseFleet} from './fleet-refuse.js';
import {writeFleet} from './fleet-write.js';

const commandSchema = z.enum(['pause', 'resume', 'abort']);

/**
 * Pauses, resumes or aborts the plan.
 *
 * @param context - the store
 * @param request - path parameter `command`, body with `revision`
 * @returns the new revision, or the refusal
 * @example
 * const answer = await controlFleet(context, {params: {command: 'pause'}, body: {revision: 12}});
 */
export async function controlFleet(context: FleetContext, request: FleetRequest): Promise<FleetAnswer> {
	const command = commandSchema.safeParse(request.params.command);
	const body = conditionSchema.safeParse(request.body);
	if (!command.success || !body.success) {
		return refuseFleet('body-malformed', {detail: body.error?.message ?? 'unknown command'});
	}

	const fleet = await loadFleet(context);
	if (fleet === undefined) {
		return refuseFleet('store-unavailable');
	}

	const {revision, dryRun} = body.data;
	const key = `${context.prefix}fleet/plan`;
	const controlled = controlPlan(fleet.plan, command.data, {key, revision});
	if (!controlled.ok) {
		return refuseFleet(controlled.reason, {revision: fleet.plan?.revision ?? 0});
	}

	return dryRun
		? {status: 200, body: {dryRun, planStatus: controlled.plan.status}}
		: writeFleet(context.store, {key, value: JSON.stringify(controlled.plan), revision});
}
