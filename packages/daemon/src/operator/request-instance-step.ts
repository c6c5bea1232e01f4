import {z} from 'zod';
import {type InstanceRecord} from '@rosemaryquay/core/maintenance/records';
import {
	conditionalWriteSchema, type FleetResponse, type FleetContext, type FleetRequest,
} from './fleet-context.js';
import {loadFleetRecords} from './load-fleet-records.js';
import {createFleetRefusal} from './create-fleet-refusal.js';
import {writeRecord} from './write-record.js';

const requestSchema = z.enum(['drain', 'return', 'move']);
const bodySchema = conditionalWriteSchema.extend({target: z.string().optional()});

function isRequestable(record: InstanceRecord, requested: z.infer<typeof requestSchema>): boolean {
	if (requested === 'return') {
		return record.state === 'suspect' || (record.state === 'drained' && record.step === 'hold');
	}

	return record.state === 'in-service' && record.home === undefined;
}

/**
 * Requests that the planner drain, return or move one instance. The planner carries out the request when the availability
 * budget allows.
 *
 * @param context - store and catalogue
 * @param request - path parameters `instance` and `action`; body with the `revision` of the instance's record, and `target` for a move
 * @returns the new revision of the record, the record after a dry run, or the refusal
 * @example
 * const response = await requestInstanceStep(context, {params: {instance: 'web-1', action: 'drain'}, body: {revision: 7}});
 */
export async function requestInstanceStep(context: FleetContext, request: FleetRequest): Promise<FleetResponse> {
	const requested = requestSchema.safeParse(request.params.action);
	const body = bodySchema.safeParse(request.body);
	if (!requested.success || !body.success || (requested.data === 'move') !== (body.data.target !== undefined)) {
		return createFleetRefusal('body-malformed', {detail: body.error?.message ?? 'expected drain, return, or move with a target'});
	}

	const {revision, target, dryRun} = body.data;
	const fleet = await loadFleetRecords(context);
	if (fleet === undefined) {
		return createFleetRefusal('store-unavailable');
	}

	const {instance = ''} = request.params;
	const current = fleet.instances.get(instance);
	if (current === undefined) {
		return createFleetRefusal('instance-unknown');
	}

	if (target !== undefined && !fleet.rulesByPool.has(target)) {
		return createFleetRefusal('pool-unknown');
	}

	if (current.revision !== revision) {
		return createFleetRefusal('conflict', {revision: current.revision});
	}

	if (!isRequestable(current.value, requested.data)) {
		return createFleetRefusal('step-under-way', {state: current.value.state});
	}

	const next: InstanceRecord = {...current.value, requested: requested.data, ...(target !== undefined && {target})};
	return dryRun
		? {status: 200, body: {dryRun, instance, record: next}}
		: writeRecord(context.store, {key: `${context.prefix}fleet/instances/${instance}`, value: JSON.stringify(next), revision});
}
