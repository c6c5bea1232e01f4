import {type Transaction} from '../store/transaction.js';
import {type PlanRecord, type Versioned} from './records.js';

export type PlanCommand = 'pause' | 'resume' | 'abort';

/** The transaction that carries out a command, or the reason why the command does not apply. */
export type PlanCommandResult =
	| {readonly ok: true; readonly transaction: Transaction; readonly plan: PlanRecord}
	| {readonly ok: false; readonly reason: 'plan-absent' | 'plan-aborted' | 'conflict'};

const statusByCommand: Readonly<Record<PlanCommand, PlanRecord['status']>> = {pause: 'paused', resume: 'running', abort: 'aborted'};

/**
 * Prepares an operator's command on the plan. The command applies only to the revision that the operator saw, so that
 * concurrent operators get a conflict instead of overwriting each other's commands.
 *
 * @param current - the plan as stored, `undefined` when there is none
 * @param command - the command
 * @param options - the key of the plan and the revision that the operator saw
 * @returns the transaction, or the reason why the command does not apply
 * @example
 * const prepared = preparePlanCommand(planner.plan, 'pause', {key: 'rosemaryquay/fleet/plan', revision: 12});
 */
export function preparePlanCommand(current: Versioned<PlanRecord> | undefined, command: PlanCommand, options: {key: string; revision: number}): PlanCommandResult {
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

	const plan: PlanRecord = {...current.value, status: statusByCommand[command]};
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
