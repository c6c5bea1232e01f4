import {type Operation} from '../store/transaction.js';
import {advanceRecord} from './advance-record.js';
import {requestAction} from './request-action.js';
import {chooseSteps} from './choose-steps.js';
import {advanceLease} from './advance-lease.js';
import {measurePoolAvailability, type PoolAvailability} from './measure-pool-availability.js';
import {type Planner, type PlannerEffect, type PlannerEventOf} from './planner.js';
import {type InstanceRecord} from './records.js';
import {type Transition} from './send-transition-batch.js';
import {sendTransitions} from './send-transitions.js';

/** Reads back the keys of transactions whose answer was lost. */
function readBackTransactions(planner: Planner): PlannerEffect[] {
	const effects: PlannerEffect[] = [];
	for (const [id, pending] of planner.pendingTransactions) {
		if (!pending.needsReadBack) {
			continue;
		}

		planner.pendingTransactions.delete(id);
		planner.sequence += 1;
		const readId = `read-${planner.sequence}`;
		planner.pendingTransactions.set(readId, {...pending, needsReadBack: false});
		const success = [`${planner.prefix}fleet/planner`, ...pending.keys].map((key): Operation => ({type: 'get', key}));
		effects.push({type: 'store-transact', id: readId, transaction: {compare: [], success, failure: []}});
	}

	return effects;
}

/** Lists the drains to undo: those of an aborted plan, and in each pool over its budget as many as the excess. */
function listDrainsToUndo(planner: Planner, availabilityByPool: ReadonlyMap<string, PoolAvailability>): Set<string> {
	const drainsToUndo = new Set<string>();
	for (const {unavailable, maximumUnavailable, reversibleDrains} of availabilityByPool.values()) {
		// An instance that is missing from the list has failed, so undoing its drain would free no budget.
		const listed = reversibleDrains.filter(id => planner.listedInstances.has(id));
		for (const id of listed.slice(0, Math.max(0, unavailable - maximumUnavailable))) {
			drainsToUndo.add(id);
		}
	}

	if (planner.plan?.value.status === 'aborted') {
		for (const id of planner.instancesToReconcile) {
			const record = planner.instances.get(id)?.value;
			if (record?.state === 'draining' && (record.step === 'maintain' || record.step === 'lend')) {
				drainsToUndo.add(id);
			}
		}
	}

	return drainsToUndo;
}

/** Lists transitions that create records for new instances and delete those of instances missing for the retention time. */
function listAddedAndDeleted(planner: Planner, at: number, utcMs: number): Transition[] {
	const transitions: Transition[] = [];
	for (const instance of planner.newInstances) {
		const listed = planner.listedInstances.get(instance);
		if (listed !== undefined && !planner.instances.has(instance) && planner.rulesByPool.has(listed.pool)) {
			const {pool, zone, rack} = listed;
			// A new instance counts as maintained, so that its maintenance cycle starts when it joins.
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
		} else if (at >= since + planner.settings.missingRetentionMs && (record.state === 'in-service' || record.state === 'suspect')) {
			transitions.push({instance, next: undefined});
		}
	}

	return transitions;
}

function advanceInstances(planner: Planner, event: PlannerEventOf<'tick'>): PlannerEffect[] {
	const {at, utcMs} = event;
	const availabilityByPool = measurePoolAvailability(planner);
	const drainsToUndo = listDrainsToUndo(planner, availabilityByPool);
	const effects: PlannerEffect[] = [];
	const transitions: Transition[] = [];
	const advancing = new Set<string>();
	for (const instance of planner.instancesToReconcile) {
		const record = planner.instances.get(instance)?.value;
		if (record === undefined || record.state === 'in-service') {
			continue;
		}

		const tracked = planner.actions.get(instance);
		const action = tracked?.generation === record.generation ? tracked.state : undefined;
		const undoDrain = drainsToUndo.has(instance);
		const next = advanceRecord(record, {utcMs, action, undoDrain}, planner.settings);
		if (next === undefined) {
			effects.push(...requestAction(planner, instance, at));
			continue;
		}

		advancing.add(instance);
		transitions.push({instance, next});
		if (undoDrain) {
			effects.push({type: 'report', report: 'drain-undone', subject: instance});
		}
	}

	// While the list is too old, any instance may be unavailable, so no planned step starts.
	if (at - planner.listedAt <= planner.settings.maximumListAgeMs) {
		transitions.push(...listAddedAndDeleted(planner, at, utcMs));
		const changing = new Set([...advancing, ...transitions.map(({instance}) => instance)]);
		const hasTransition = (instance: string, _record: InstanceRecord): boolean => changing.has(instance);
		transitions.push(...chooseSteps({
			planner, utcMs, availabilityByPool, hasTransition,
		}));
	}

	return [...effects, ...sendTransitions(planner, transitions)];
}

/**
 * Renews the lease, resolves unknown outcomes, advances steps under way and starts new ones.
 *
 * @param planner - the planner, updated in place
 * @param event - the tick
 * @returns the calls to make and the reports
 * @example
 * const effects = tickPlanner(planner, {type: 'tick', at: 100, utcMs: Date.now()});
 */
export function tickPlanner(planner: Planner, event: PlannerEventOf<'tick'>): PlannerEffect[] {
	planner.utcOffsetMs = event.utcMs - event.at;
	const effects = advanceLease(planner, event);
	const {lease} = planner;
	if (lease.type !== 'held' || !lease.loaded) {
		return effects;
	}

	return [...effects, ...readBackTransactions(planner), ...advanceInstances(planner, event)];
}
