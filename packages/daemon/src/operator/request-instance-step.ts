import {z} from 'zod';
import {type InstanceRecord} from '@rosemaryquay/core/maintenance/records';
import {
	conditionSchema, type FleetAnswer, type FleetContext, type FleetRequest,
} from './fleet-context.js';
import {loadFleet} from './fleet-load.js';
import {refuseFleet} from './fleet-refuse.js';
import {writeFleet} from './fleet-write.js';

const actionSchema = z.enum(['drain', 'return', 'move']);
const bodySchema = conditionSchema.extend({target: z.string().optional()});

function mayRequest(record: InstanceRecord, action: z.infer<typeof actionSchema>): boolean {
	if (action === 'return') {
		return record.state === 'suspect' || (record.state === 'drained' && record.step === 'hold');
	}

	return record.state === 'in-service' && record.home === undefined;
}

/**
 * Asks the planner to drain, return or move one instance. The planner takes it up when the
 * availability budget allows.
 *
 * @param context - store and catalogue
 * @param request - path parameters `instance` and `action`; body with the `revision` of the instance's record, and `target` for a move
 * @returns the new revision of the record, or the refusal
 * @example
 * const answer = await requestFleetStep(context, {params: {instance: 'web-1', action: 'drain'}, body: {revision: 7}});
 */
export async function requestFleetStep(context: FleetContext, request: FleetRequest): Promise<FleetAnswer> {
	const action = actionSchema.safeParse(request.params.action);
	const body = bodySchema.safeParse(request.body);
	if (!action.success || !body.success || (action.data === 'move') !== (body.data.target !== undefined)) {
		return refuseFleet('body-malformed', {detail: body.error?.message ?? 'expected drain, return, or move with a target'});
	}

	const {revision, target, dryRun} = body.data;
	const fleet = await loadFleet(context);
	if (fleet === undefined) {
		return refuseFleet('store-unavailable');
	}

	const {instance = ''} = request.params;
	const current = fleet.instances.get(instance);
	if (current === undefined) {
		return refuseFleet('instance-unknown');
	}

	if (target !== undefined && !fleet.pools.has(target)) {
		return refuseFleet('pool-unknown');
	}

	if (current.revision !== revision) {
		return refuseFleet('conflict', {revision: current.revision});
	}

	if (!mayRequest(current.value, action.data)) {
		return refuseFleet('step-under-way', {state: current.value.state});
	}

	const next: InstanceRecord = {...current.value, requested: action.data, ...(target !== undefined && {target})};
	return dryRun
		? {status: 200, body: {dryRun, instance, record: next}}
		: writeFleet(context.store, {key: `${context.prefix}fleet/instances/${instance}`, value: JSON.stringify(next), revision});
}
