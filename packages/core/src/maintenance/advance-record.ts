import {type ActionName, type ActionState, type PlannerSettings} from './planner.js';
import {type InstanceRecord, type InstanceState} from './records.js';

/** What the next state is derived from besides the record. */
export type Progress = {
	readonly utcMs: number;
	/** State of the action of the record's generation; `undefined` when nothing is known. */
	readonly action: ActionState | undefined;
	/** The drain is to be undone. */
	readonly undo: boolean;
};

type Advance = (record: InstanceRecord, progress: Progress, settings: PlannerSettings) => InstanceRecord | undefined;

/** Drops what belongs to the previous state and takes the next generation. */
function next(record: InstanceRecord, changes: Partial<InstanceRecord>): InstanceRecord {
	const {deadlineAt: _deadline, ...rest} = record;
	return {...rest, generation: record.generation + 1, ...changes};
}

function isPast(record: InstanceRecord, utcMs: number): boolean {
	return record.deadlineAt !== undefined && utcMs >= record.deadlineAt;
}

const afterDrain: Partial<Record<NonNullable<InstanceRecord['step']>, Advance>> = {
	maintain: (record, {utcMs}, {rebootMs}) => next(record, {state: 'rebooting', deadlineAt: utcMs + rebootMs}),
	move: record => next(record, {state: 'moving'}),
	lend: record => next(record, {state: 'moving'}),
	'give-back': record => next(record, {state: 'moving'}),
	hold: record => next(record, {state: 'drained'}),
};

function arrive(record: InstanceRecord): InstanceRecord {
	const {target, home, ...rest} = record;
	const pool = target ?? record.pool;
	// A lent instance keeps its home until it is back there.
	const origin = record.step === 'lend' ? record.pool : undefined;
	return next({...rest, pool, ...(origin !== undefined && {home: origin})}, {state: 'drained', step: record.step === 'give-back' ? 'return' : 'arrive'});
}

const advances: Partial<Record<InstanceState, Advance>> = {
	draining(record, progress, settings) {
		if (progress.undo) {
			const {target: _target, ...rest} = record;
			return next(rest, {state: 'drained', step: 'return'});
		}

		const ended = progress.action === 'done' || isPast(record, progress.utcMs);
		return ended && record.step !== undefined ? afterDrain[record.step]?.(record, progress, settings) : undefined;
	},
	rebooting(record, {utcMs, action}, {maximumReboots, rebootMs}) {
		if (action === 'done') {
			return next(record, {
				state: 'drained', step: 'return', maintainedAt: utcMs, failedReboots: 0,
			});
		}

		if (action !== 'failed' && !isPast(record, utcMs)) {
			return undefined;
		}

		const failedReboots = record.failedReboots + 1;
		return failedReboots < maximumReboots
			? next(record, {failedReboots, deadlineAt: utcMs + rebootMs})
			: next(record, {state: 'suspect', failedReboots});
	},
	moving(record, {action}) {
		if (action === 'done') {
			return arrive(record);
		}

		if (action !== 'failed') {
			return undefined;
		}

		const {target: _target, ...rest} = record;
		return next(rest, {state: 'drained', step: 'return'});
	},
	suspect(record) {
		const {requested, ...rest} = record;
		return requested === 'return' ? next(rest, {state: 'drained', step: 'return', failedReboots: 0}) : undefined;
	},
	drained(record, {action}) {
		if (record.step === 'hold') {
			const {requested, ...rest} = record;
			return requested === 'return' ? next(rest, {step: 'return'}) : undefined;
		}

		if (action === 'failed') {
			return next(record, {state: 'suspect'});
		}

		if (action !== 'done') {
			return undefined;
		}

		const {step: _step, ...rest} = record;
		return {...rest, state: 'in-service'};
	},
};

/**
 * Derives the next record of an instance that is out of service, from its record and the state of
 * its platform action alone.
 *
 * @param record - the current record
 * @param progress - time, state of the action, and whether the drain is to be undone
 * @param settings - deadlines and the number of reboots
 * @returns the next record, or `undefined` while there is nothing to change
 * @example
 * const next = advanceRecord(record, {utcMs: Date.now(), action: 'done', undo: false}, planner.settings);
 */
export function advanceRecord(record: InstanceRecord, progress: Progress, settings: PlannerSettings): InstanceRecord | undefined {
	return advances[record.state]?.(record, progress, settings);
}

/** The platform action of each state; a drained instance is undrained unless it is held. */
export const actionOfState: Partial<Record<InstanceState, ActionName>> = {
	draining: 'drain', rebooting: 'reboot', moving: 'move', drained: 'undrain',
};
