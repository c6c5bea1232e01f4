import {type Operation} from '../store/transaction.js';
import {advanceRecord} from './advance-record.js';
import {askAction} from './ask-action.js';
import {chooseSteps} from './choose-steps.js';
import {holdLease} from './hold-lease.js';
import {measurePools, type PoolAvailability} from './measure-pools.js';
import {type Planner, type PlannerEffect, type PlannerEventOf} from './planner.js';
import {type InstanceRecord} from './records.js';
import {type Transition} from './send-transition.js';
import {sendTransitions} from './send-transitions.js';

/** Reads back the keys of transactions whose outcome is unknown. */
function readBack(planner: Planner): PlannerEffect[] {
	const effects: PlannerEffect[] = [];
	for (const [id, pending] of planner.pending) {
		if (!pending.unread) {
			continue;
		}

		planner.pending.delete(id);
		planner.sequence += 1;
		const readId = `read-${planner.sequence}`;
		planner.pending.set(readId, {...pending, unread: false});
		const success = [`${planner.prefix}fleet/planner`, ...pending.keys].map((key): Operation => ({type: 'get', key}));
		effects.push({type: 'store-transact', id: readId, transaction: {compare: [], success, failure: []}});
	}

	return effects;
}

/** Drains to undo: as many as unplanned failures need of the budget. */
function listUndone(planner: Planner, pools: ReadonlyMap<string, PoolAvailability>): Set<string> {
	const undone = new Set<string>();
	for (const {unavailable, allowance, undoable} of pools.values()) {
		// An instance that has failed gains nothing from an undone drain.
		const live = undoable.filter(id => planner.listed.has(id));
		for (const id of live.slice(0, Math.max(0, unavailable - allowance))) {
			undone.add(id);
		}
	}

	if (planner.plan?.value.status === 'aborted') {
		for (const id of planner.unsettled) {
			const record = planner.instances.get(id)?.value;
			if (record?.state === 'draining' && (record.step === 'maintain' || record.step === 'lend')) {
				undone.add(id);
			}
		}
	}

	return undone;
}

/** Records for instances that the list shows for the first time, and the end of those it no longer has. */
function listArrivalsAndLeavers(planner: Planner, at: number, utcMs: number): Transition[] {
	const transitions: Transition[] = [];
	for (const instance of planner.arrivals) {
		const listed = planner.listed.get(instance);
		if (listed !== undefined && !planner.instances.has(instance) && planner.pools.has(listed.pool)) {
			const {pool, zone, rack} = listed;
			transitions.push({
				instance,
				next: {
					pool, zone, rack, state: 'in-service', generation: 0, maintainedAt: utcMs, failedReboots: 0,
				},
			});
		}
	}

	for (const [instance, since] of planner.missingSince) {
		const record = planner.instances.get(instance)?.value;
		if (record === undefined) {
			planner.missingSince.delete(instance);
		} else if (at >= since + planner.settings.retireMs && (record.state === 'in-service' || record.state === 'suspect')) {
			transitions.push({instance, next: undefined});
		}
	}

	return transitions;
}

function advanceAll(planner: Planner, event: PlannerEventOf<'tick'>): PlannerEffect[] {
	const {at, utcMs} = event;
	const pools = measurePools(planner);
	const undone = listUndone(planner, pools);
	const effects: PlannerEffect[] = [];
	const transitions: Transition[] = [];
	const advancing = new Set<string>();
	for (const instance of planner.unsettled) {
		const record = planner.instances.get(instance)?.value;
		if (record === undefined || record.state === 'in-service') {
			continue;
		}

		const known = planner.actions.get(instance);
		const action = known?.generation === record.generation ? known.state : undefined;
		const undo = undone.has(instance);
		const next = advanceRecord(record, {utcMs, action, undo}, planner.settings);
		if (next === undefined) {
			effects.push(...askAction(planner, instance, at));
			continue;
		}

		advancing.add(instance);
		transitions.push({instance, next});
		if (undo) {
			effects.push({type: 'report', report: 'drain-undone', subject: instance});
		}
	}

	// While the list is old, every instance may be unavailable, so that nothing planned begins.
	if (at - planner.listedAt <= planner.settings.listLimitMs) {
		transitions.push(...listArrivalsAndLeavers(planner, at, utcMs));
		const busy = new Set([...advancing, ...transitions.map(({instance}) => instance)]);
		const isBusy = (instance: string, _record: InstanceRecord): boolean => busy.has(instance);
		transitions.push(...chooseSteps({
			planner, utcMs, pools, isBusy,
		}));
	}

	return [...effects, ...sendTransitions(planner, transitions)];
}

/**
 * Keeps the lease, resolves unknown outcomes, carries steps under way on and begins new ones.
 *
 * @param planner - the planner, updated in place
 * @param event - the tick
 * @returns the calls to make
 * @example
 * const effects = tickPlanner(planner, {type: 'tick', at: 100, utcMs: Date.now()});
 */
export function tickPlanner(planner: Planner, event: PlannerEventOf<'tick'>): PlannerEffect[] {
	planner.utcOffsetMs = event.utcMs - event.at;
	const effects = holdLease(planner, event);
	const {lease} = planner;
	if (lease.type !== 'held' || !lease.loaded) {
		return effects;
	}

	return [...effects, ...readBack(planner), ...advanceAll(planner, event)];
}
