import {type ActionName, type ActionState, type PlannerSettings} from './planner.js';
import {type InstanceRecord, type InstanceState} from './records.js';

/** Input besides the record from which the next state is derived. */
export type TransitionInput = {
	readonly utcMs: number;
	/** State of the action of the record's generation; `undefined` when nothing is known. */
	readonly action: ActionState | undefined;
	/** True when the pool exceeds its budget or the plan is aborted. Only a draining instance uses it. */
	readonly undoDrain: boolean;
};

type StateHandler = (record: InstanceRecord, input: TransitionInput, settings: PlannerSettings) => InstanceRecord | undefined;

/** Creates the next record: drops the deadline of the previous state and increments the generation. */
function withNextGeneration(record: InstanceRecord, changes: Partial<InstanceRecord>): InstanceRecord {
	const {deadlineAt: _deadline, ...rest} = record;
	return {...rest, generation: record.generation + 1, ...changes};
}

function isDeadlinePassed(record: InstanceRecord, utcMs: number): boolean {
	return record.deadlineAt !== undefined && utcMs >= record.deadlineAt;
}

const handlersAfterDrain: Partial<Record<NonNullable<InstanceRecord['step']>, StateHandler>> = {
	maintain: (record, {utcMs}, {rebootMs}) => withNextGeneration(record, {state: 'rebooting', deadlineAt: utcMs + rebootMs}),
	move: record => withNextGeneration(record, {state: 'moving'}),
	lend: record => withNextGeneration(record, {state: 'moving'}),
	'give-back': record => withNextGeneration(record, {state: 'moving'}),
	hold: record => withNextGeneration(record, {state: 'drained'}),
};

function completeMove(record: InstanceRecord): InstanceRecord {
	const {target, home, ...rest} = record;
	const pool = target ?? record.pool;
	// A lent instance keeps its home pool until it has been moved back there.
	const origin = record.step === 'lend' ? record.pool : undefined;
	return withNextGeneration({...rest, pool, ...(origin !== undefined && {home: origin})}, {state: 'drained', step: record.step === 'give-back' ? 'return' : 'arrive'});
}

const handlersByState: Partial<Record<InstanceState, StateHandler>> = {
	draining(record, input, settings) {
		if (input.undoDrain) {
			const {target: _target, ...rest} = record;
			return withNextGeneration(rest, {state: 'drained', step: 'return'});
		}

		const ended = input.action === 'done' || isDeadlinePassed(record, input.utcMs);
		return ended && record.step !== undefined ? handlersAfterDrain[record.step]?.(record, input, settings) : undefined;
	},
	rebooting(record, {utcMs, action}, {maximumRebootAttempts, rebootMs}) {
		if (action === 'done') {
			return withNextGeneration(record, {
				state: 'drained', step: 'return', maintainedAt: utcMs, failedReboots: 0,
			});
		}

		if (action !== 'failed' && !isDeadlinePassed(record, utcMs)) {
			return undefined;
		}

		const failedReboots = record.failedReboots + 1;
		return failedReboots < maximumRebootAttempts
			? withNextGeneration(record, {failedReboots, deadlineAt: utcMs + rebootMs})
			: withNextGeneration(record, {state: 'suspect', failedReboots});
	},
	moving(record, {action}) {
		if (action === 'done') {
			return completeMove(record);
		}

		if (action !== 'failed') {
			return undefined;
		}

		const {target: _target, ...rest} = record;
		return withNextGeneration(rest, {state: 'drained', step: 'return'});
	},
	suspect(record) {
		const {requested, ...rest} = record;
		return requested === 'return' ? withNextGeneration(rest, {state: 'drained', step: 'return', failedReboots: 0}) : undefined;
	},
	drained(record, {action}) {
		if (record.step === 'hold') {
			const {requested, ...rest} = record;
			return requested === 'return' ? withNextGeneration(rest, {step: 'return'}) : undefined;
		}

		if (action === 'failed') {
			return withNextGeneration(record, {state: 'suspect'});
		}

		if (action !== 'done') {
			return undefined;
		}

		const {step: _step, ...rest} = record;
		return {...rest, state: 'in-service'};
	},
};

/**
 * Derives the next record of an instance that is out of service, from its record, the state of its platform action, the
 * time and whether to undo its drain. Keeps no state of its own.
 *
 * @param record - the current record
 * @param input - time, state of the action, and whether to undo the drain
 * @param settings - reboot timeout and maximum number of reboot attempts
 * @returns the next record, or `undefined` while there is nothing to change
 * @example
 * const next = advanceRecord(record, {utcMs: Date.now(), action: 'done', undoDrain: false}, planner.settings);
 */
export function advanceRecord(record: InstanceRecord, input: TransitionInput, settings: PlannerSettings): InstanceRecord | undefined {
	return handlersByState[record.state]?.(record, input, settings);
}

/** The platform action of each state. A drained instance is undrained unless an operator holds it. */
export const actionByState: Partial<Record<InstanceState, ActionName>> = {
	draining: 'drain', rebooting: 'reboot', moving: 'move', drained: 'undrain',
};
