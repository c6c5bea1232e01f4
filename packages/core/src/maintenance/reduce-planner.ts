import {advanceRecord} from './advance-record.js';
import {applyEntry} from './apply-entry.js';
import {holdLease} from './hold-lease.js';
import {loadRecords} from './load-records.js';
import {markDown} from './mark-down.js';
import {
	type Planner, type PlannerEffect, type PlannerEvent, type PlannerEventOf,
} from './planner.js';
import {sendTransitions} from './send-transitions.js';
import {takeAnswer} from './take-answer.js';
import {tickPlanner} from './tick-planner.js';

type Handler<Type extends PlannerEvent['type']> = (planner: Planner, event: PlannerEventOf<Type>) => PlannerEffect[];

function recordList(planner: Planner, event: PlannerEventOf<'instances-listed'>): PlannerEffect[] {
	planner.listedAt = event.at;
	planner.listed = new Map(event.instances.map(instance => [instance.id, instance]));
	markDown(planner, event.at);
	return [];
}

function recordChanges(planner: Planner, event: PlannerEventOf<'records-changed'>): PlannerEffect[] {
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

/** Takes an answer of the platform and, when the action has ended, the next transition without waiting for a tick. */
function recordAction(planner: Planner, event: PlannerEventOf<'action-answered'>): PlannerEffect[] {
	const {instance, generation, state, at} = event;
	const known = planner.actions.get(instance);
	const record = planner.instances.get(instance)?.value;
	// A duplicated or late answer never takes back that the action has ended.
	if (known?.generation !== generation || known.state === 'done' || known.state === 'failed') {
		return [];
	}

	known.asking = false;
	known.state = state;
	if (record?.generation !== generation || (state !== 'done' && state !== 'failed')) {
		return [];
	}

	const next = advanceRecord(record, {utcMs: at + planner.utcOffsetMs, action: state, undo: false}, planner.settings);
	return next === undefined ? [] : sendTransitions(planner, [{instance, next}]);
}

const handlers: {readonly [Type in PlannerEvent['type']]: Handler<Type>} = {
	tick: tickPlanner,
	'rules-loaded'(planner, event) {
		planner.pools = event.pools;
		planner.withdrawn = event.withdrawn;
		markDown(planner, event.at);
		return [];
	},
	'instances-listed': recordList,
	'lease-granted': holdLease,
	'lease-renewed': holdLease,
	'store-transacted': takeAnswer,
	'store-listed': loadRecords,
	'records-changed': recordChanges,
	'action-answered': recordAction,
};

/**
 * Applies one event to a planner, which is updated in place.
 *
 * @param planner - the planner, owned by the reducer
 * @param event - what happened; `at` never decreases from one event to the next
 * @returns what the host has to do, in order
 * @example
 * for (const effect of reducePlanner(planner, event)) perform(effect);
 */
export function reducePlanner(planner: Planner, event: PlannerEvent): PlannerEffect[] {
	return (handlers[event.type] as Handler<PlannerEvent['type']>)(planner, event);
}
