import {type Transaction} from '../store/transaction.js';
import {type PlanRecord, type Versioned} from './records.js';

export type PlanCommand = 'pause' | 'resume' | 'abort';

/** The write of a command, or why the command does not apply. */
export type Controlled =
	| {readonly ok: true; readonly transaction: Transaction; readonly plan: PlanRecord}
	| {readonly ok: false; readonly reason: 'plan-absent' | 'plan-aborted' | 'conflict'};

const statuses: Readonly<Record<PlanCommand, PlanRecord['status']>> = {pause: 'paused', resume: 'running', abort: 'aborted'};

/**
 * Prepares an operator's command on the plan. It applies only to the revision that the operator
 * saw, so that racing operators get a conflict instead of undoing each other.
 *
 * @param current - the plan as stored, `undefined` when there is none
 * @param command - the command
 * @param options - the key of the plan and the revision that the operator saw
 * @returns the transaction, or the reason of the refusal
 * @example
 * const controlled = controlPlan(planner.plan, 'pause', {key: 'rosemaryquay/fleet/plan', revision: 12});
 */
export function controlPlan(current: Versioned<PlanRecord> | undefined, command: PlanCommand, options: {key: string; revision: number}): Controlled {
	const {key, revision} = options;
	if (current === undefined) {
		return {ok: false, reason: 'plan-absent'};
	}

	if (current.revision !== revision) {
		return {ok: false, reason: 'conflict'};
	}

	if (current.value.status === 'aborted') {
		return {ok: false, reason: 'plan-aborted'};
	}

	const plan: PlanRecord = {...current.value, status: statuses[command]};
	return {
		ok: true,
		plan,
		transaction: {
			compare: [{key, modRevision: revision}],
			success: [{type: 'put', key, value: JSON.stringify(plan)}],
			failure: [{type: 'get', key}],
		},
	};
}
