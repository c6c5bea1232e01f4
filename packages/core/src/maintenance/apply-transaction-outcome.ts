import {requestAction} from './request-action.js';
import {advanceLease} from './advance-lease.js';
import {applyEntry} from './apply-entry.js';
import {type Planner, type PlannerEffect, type PlannerEventOf} from './planner.js';

function listInstancesOfKeys(planner: Planner, keys: Iterable<string>): string[] {
	const prefix = `${planner.prefix}fleet/instances/`;
	return [...keys].filter(key => key.startsWith(prefix)).map(key => key.slice(prefix.length));
}

/** Updates derived state after a record was written or read back, and requests the platform action for its state. */
function handleRecordUpdate(planner: Planner, instance: string, at: number): PlannerEffect[] {
	const record = planner.instances.get(instance)?.value;
	if (record === undefined || record.state === 'in-service') {
		planner.actions.delete(instance);
	}

	// Generation 0 is a new instance, which has not been out of service.
	if (record?.state === 'in-service' && record.generation > 0) {
		planner.returnedAt.set(instance, at);
		// The list lags, so it may still show `leaving` after the platform has confirmed the return of the instance.
		if (planner.listedInstances.get(instance)?.state === 'leaving' && !planner.withdrawnZones.has(record.zone)) {
			planner.notLive.delete(instance);
		}
	}

	const report: PlannerEffect[] = record?.state === 'suspect' ? [{type: 'report', report: 'instance-suspect', subject: instance}] : [];
	return [...report, ...requestAction(planner, instance, at)];
}

/**
 * Applies the outcome of a store transaction: the written records after success, the stored records after a conflict or a
 * read-back. Marks the transaction for read-back when its outcome is unknown.
 *
 * @param planner - the planner, updated in place
 * @param event - the outcome
 * @returns the platform actions for the new records, and reports
 * @example
 * const effects = applyTransactionOutcome(planner, {type: 'store-transacted', at: 5, id: 'transition-1', outcome});
 */
export function applyTransactionOutcome(planner: Planner, event: PlannerEventOf<'store-transacted'>): PlannerEffect[] {
	const {id, outcome, at} = event;
	if (id.startsWith('claim-')) {
		return advanceLease(planner, event);
	}

	const pending = planner.pendingTransactions.get(id);
	const {lease} = planner;
	if (pending === undefined || lease.type !== 'held') {
		return [];
	}

	planner.pendingTransactions.delete(id);
	if (!outcome.ok) {
		if (outcome.reason === 'outcome-unknown' || id.startsWith('read-')) {
			planner.pendingTransactions.set(id, {...pending, needsReadBack: true});
		}

		return [];
	}

	const {succeeded, revision, entries} = outcome.value;
	const effects: PlannerEffect[] = [];
	if (succeeded && !id.startsWith('read-')) {
		for (const [key, value] of pending.writes) {
			effects.push(...applyEntry(planner, key, value === undefined ? undefined : {value, modRevision: revision}));
		}
	} else {
		const [holder, ...records] = entries;
		if (holder?.modRevision !== lease.fencingToken) {
			planner.lease = {type: 'none', retryAt: at + planner.settings.leaseTtlMs};
			planner.pendingTransactions.clear();
			planner.actions.clear();
			return [{type: 'report', report: 'planner-stopped', subject: planner.id}];
		}

		for (const [index, key] of pending.keys.entries()) {
			effects.push(...applyEntry(planner, key, records[index]));
		}
	}

	for (const instance of listInstancesOfKeys(planner, pending.keys)) {
		effects.push(...handleRecordUpdate(planner, instance, at));
	}

	return effects;
}
