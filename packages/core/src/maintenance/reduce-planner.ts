import {advanceRecord} from './advance-record.js';
import {applyEntry} from './apply-entry.js';
import {advanceLease} from './advance-lease.js';
import {applyRecordListing} from './apply-record-listing.js';
import {refreshInstanceStatus} from './refresh-instance-status.js';
import {
	type Planner, type PlannerEffect, type PlannerEvent, type PlannerEventOf,
} from './planner.js';
import {sendTransitions} from './send-transitions.js';
import {applyTransactionOutcome} from './apply-transaction-outcome.js';
import {tickPlanner} from './tick-planner.js';

type Handler<Type extends PlannerEvent['type']> = (planner: Planner, event: PlannerEventOf<Type>) => PlannerEffect[];

function applyInstanceList(planner: Planner, event: PlannerEventOf<'instances-listed'>): PlannerEffect[] {
	planner.listedAt = event.at;
	planner.listedInstances = new Map(event.instances.map(instance => [instance.id, instance]));
	refreshInstanceStatus(planner, event.at);
	return [];
}

/**
 * Applies changes from the watch. A deletion older than the known record of its instance is ignored. Deletions of budgets and
 * of the plan need no such check, because neither the planner nor operators delete them.
 */
function applyRecordChanges(planner: Planner, event: PlannerEventOf<'records-changed'>): PlannerEffect[] {
	const effects: PlannerEffect[] = [];
	for (const {key, value, modRevision} of event.changes) {
		if (value !== undefined) {
			effects.push(...applyEntry(planner, key, {value, modRevision}));
		} else if (!key.startsWith(`${planner.prefix}fleet/instances/`)
			|| (planner.instances.get(key.slice(`${planner.prefix}fleet/instances/`.length))?.revision ?? 0) < modRevision) {
			applyEntry(planner, key, undefined);
		}
	}

	return effects;
}

/** Records the answer to a platform action. When the action has ended, sends the next transition without waiting for a tick. */
function applyActionAnswer(planner: Planner, event: PlannerEventOf<'action-answered'>): PlannerEffect[] {
	const {instance, generation, state, at} = event;
	const tracked = planner.actions.get(instance);
	const record = planner.instances.get(instance)?.value;
	// A duplicate or late answer must not overwrite the final state of an action.
	if (tracked?.generation !== generation || tracked.state === 'done' || tracked.state === 'failed') {
		return [];
	}

	tracked.awaitingAnswer = false;
	tracked.state = state;
	if (record?.generation !== generation || (state !== 'done' && state !== 'failed')) {
		return [];
	}

	const next = advanceRecord(record, {utcMs: at + planner.utcOffsetMs, action: state, undoDrain: false}, planner.settings);
	return next === undefined ? [] : sendTransitions(planner, [{instance, next}]);
}

const handlers: {readonly [Type in PlannerEvent['type']]: Handler<Type>} = {
	tick: tickPlanner,
	'rules-loaded'(planner, event) {
		planner.rulesByPool = event.pools;
		planner.withdrawnZones = event.withdrawn;
		refreshInstanceStatus(planner, event.at);
		return [];
	},
	'instances-listed': applyInstanceList,
	'lease-granted': advanceLease,
	'lease-renewed': advanceLease,
	'store-transacted': applyTransactionOutcome,
	'store-listed': applyRecordListing,
	'records-changed': applyRecordChanges,
	'action-answered': applyActionAnswer,
};

/**
 * Applies one event to the planner, which is updated in place.
 *
 * @param planner - the planner, which only the reducer modifies
 * @param event - the event; `at` must not decrease from one event to the next
 * @returns the effects that the host performs, in order
 * @example
 * for (const effect of reducePlanner(planner, event)) perform(effect);
 */
export function reducePlanner(planner: Planner, event: PlannerEvent): PlannerEffect[] {
	return (handlers[event.type] as Handler<PlannerEvent['type']>)(planner, event);
}
