import {actionByState} from './advance-record.js';
import {
	type ActionName, type TrackedAction, type Planner, type PlannerEffect,
} from './planner.js';
import {type InstanceRecord} from './records.js';

/** Number of polling intervals after which a missing answer counts as lost. */
const answerTimeoutIntervals = 3;

/** Tells whether the action has ended, or its last call was too recent to poll or to count as lost. */
function needsNoCall(planner: Planner, known: TrackedAction, at: number): boolean {
	const {pollIntervalMs} = planner.settings;
	if (known.awaitingAnswer) {
		return at < known.calledAt + (pollIntervalMs * answerTimeoutIntervals);
	}

	return known.state === 'done' || known.state === 'failed' || at < known.calledAt + pollIntervalMs;
}

function buildActionOptions({deadlineAt, target}: InstanceRecord, action: ActionName, utcMs: number): {deadlineMs?: number; target?: string} {
	if (action === 'drain' && deadlineAt !== undefined) {
		return {deadlineMs: Math.max(0, deadlineAt - utcMs)};
	}

	return action === 'move' && target !== undefined ? {target} : {};
}

/**
 * Requests the platform action for the state of an instance's record, or reads the state of an action that was requested
 * before. Actions are idempotent by (instance, generation), so a planner that knows only the records may request them
 * again. A lost answer is resolved by reading the state back.
 *
 * @param planner - the planner; its tracked action of the instance is updated
 * @param instance - identifier of the instance
 * @param at - time of the event
 * @returns the call to make, if any
 * @example
 * effects.push(...requestAction(planner, 'web-1', event.at));
 */
export function requestAction(planner: Planner, instance: string, at: number): PlannerEffect[] {
	const record = planner.instances.get(instance)?.value;
	const action = record === undefined ? undefined : actionByState[record.state];
	if (record === undefined || action === undefined || (record.step === 'hold' && record.state === 'drained')) {
		return [];
	}

	const {generation} = record;
	const known = planner.actions.get(instance);
	const isNew = known?.generation !== generation;
	if (known !== undefined && !isNew && needsNoCall(planner, known, at)) {
		return [];
	}

	// Requests an action of a new generation and one that the platform has not received; otherwise reads its state.
	const mustPerform = isNew || known?.state === 'absent';
	planner.actions.set(instance, {
		generation, state: isNew ? 'unknown' : known?.state ?? 'unknown', calledAt: at, awaitingAnswer: true,
	});
	if (!mustPerform) {
		return [{type: 'read-action', instance, generation}];
	}

	return [{
		type: 'perform-action', instance, generation, action, ...buildActionOptions(record, action, at + planner.utcOffsetMs),
	}];
}
