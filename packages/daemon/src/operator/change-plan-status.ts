import {z} from 'zod';
import {preparePlanCommand} from '@rosemaryquay/core/maintenance/prepare-plan-command';
import {
	conditionalWriteSchema, type FleetResponse, type FleetContext, type FleetRequest,
} from './fleet-context.js';
import {loadFleetRecords} from './load-fleet-records.js';
import {createFleetRefusal} from './create-fleet-refusal.js';
import {writeRecord} from './write-record.js';

const commandSchema = z.enum(['pause', 'resume', 'abort']);

/**
 * Pauses, resumes or aborts the plan.
 *
 * @param context - the store
 * @param request - path parameter `command`, body with `revision`
 * @returns the new revision, the status after a dry run, or the refusal
 * @example
 * const response = await changePlanStatus(context, {params: {command: 'pause'}, body: {revision: 12}});
 */
export async function changePlanStatus(context: FleetContext, request: FleetRequest): Promise<FleetResponse> {
	const command = commandSchema.safeParse(request.params.command);
	const body = conditionalWriteSchema.safeParse(request.body);
	if (!command.success || !body.success) {
		return createFleetRefusal('body-malformed', {detail: body.error?.message ?? 'unknown command'});
	}

	const fleet = await loadFleetRecords(context);
	if (fleet === undefined) {
		return createFleetRefusal('store-unavailable');
	}

	const {revision, dryRun} = body.data;
	const key = `${context.prefix}fleet/plan`;
	const prepared = preparePlanCommand(fleet.plan, command.data, {key, revision});
	if (!prepared.ok) {
		return createFleetRefusal(prepared.reason, {revision: fleet.plan?.revision ?? 0});
	}

	return dryRun
		? {status: 200, body: {dryRun, planStatus: prepared.plan.status}}
		: writeRecord(context.store, {key, value: JSON.stringify(prepared.plan), revision});
}
