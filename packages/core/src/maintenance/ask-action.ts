import {actionOfState} from './advance-record.js';
import {
	type ActionName, type KnownAction, type Planner, type PlannerEffect,
} from './planner.js';
import {type InstanceRecord} from './records.js';

/** Poll intervals after which an answer that has not come counts as lost. */
const lostAfterPolls = 3;

function isWaiting(planner: Planner, known: KnownAction, at: number): boolean {
	const {pollMs} = planner.settings;
	if (known.asking) {
		return at < known.askedAt + (pollMs * lostAfterPolls);
	}

	return known.state === 'done' || known.state === 'failed' || at < known.askedAt + pollMs;
}

function describeAction({deadlineAt, target}: InstanceRecord, action: ActionName, utcMs: number): {deadlineMs?: number; target?: string} {
	if (action === 'drain' && deadlineAt !== undefined) {
		return {deadlineMs: Math.max(0, deadlineAt - utcMs)};
	}

	return action === 'move' && target !== undefined ? {target} : {};
}

/**
 * Asks the platform for the action that an instance's record calls for, or for its state. Actions
 * are idempotent by (instance, generation), so that a planner that starts from the records alone
 * may ask again; a lost answer is resolved by reading back.
 *
 * @param planner - the planner; what it knows of the action is updated
 * @param instance - identifier of the instance
 * @param at - time of the event
 * @returns the call to make, if any
 * @example
 * effects.push(...askAction(planner, 'web-1', event.at));
 */
export function askAction(planner: Planner, instance: string, at: number): PlannerEffect[] {
	const record = planner.instances.get(instance)?.value;
	const action = record === undefined ? undefined : actionOfState[record.state];
	if (record === undefined || action === undefined || (record.step === 'hold' && record.state === 'drained')) {
		return [];
	}

	const {generation} = record;
	const known = planner.actions.get(instance);
	const isNew = known?.generation !== generation;
	if (known !== undefined && !isNew && isWaiting(planner, known, at)) {
		return [];
	}

	// Only an action that the platform has not seen is asked for; for any other its state is read.
	const perform = isNew || known?.state === 'absent';
	planner.actions.set(instance, {
		generation, state: isNew ? 'unknown' : known?.state ?? 'unknown', askedAt: at, asking: true,
	});
	if (!perform) {
		return [{type: 'read-action', instance, generation}];
	}

	return [{
		type: 'perform-action', instance, generation, action, ...describeAction(record, action, at + planner.utcOffsetMs),
	}];
}
