import {askAction} from './ask-action.js';
import {holdLease} from './hold-lease.js';
import {applyEntry} from './apply-entry.js';
import {type Planner, type PlannerEffect, type PlannerEventOf} from './planner.js';

function listInstances(planner: Planner, keys: Iterable<string>): string[] {
	const prefix = `${planner.prefix}fleet/instances/`;
	return [...keys].filter(key => key.startsWith(prefix)).map(key => key.slice(prefix.length));
}

/** Does what a record that was just written or read back calls for. */
function followRecord(planner: Planner, instance: string, at: number): PlannerEffect[] {
	const record = planner.instances.get(instance)?.value;
	if (record === undefined || record.state === 'in-service') {
		planner.actions.delete(instance);
	}

	if (record?.state === 'in-service' && record.generation > 0) {
		planner.returnedAt.set(instance, at);
		if (planner.listed.get(instance)?.state === 'leaving' && !planner.withdrawn.has(record.zone)) {
			planner.down.delete(instance);
		}
	}

	const report: PlannerEffect[] = record?.state === 'suspect' ? [{type: 'report', report: 'instance-suspect', subject: instance}] : [];
	return [...report, ...askAction(planner, instance, at)];
}

/**
 * Takes the outcome of a store transaction: the written records, the records as the store has them
 * after a conflict, or nothing when the outcome is unknown and has to be read back.
 *
 * @param planner - the planner, updated in place
 * @param event - the outcome
 * @returns the platform actions that the new records call for
 * @example
 * const effects = takeAnswer(planner, {type: 'store-transacted', at: 5, id: 'transition-1', outcome});
 */
export function takeAnswer(planner: Planner, event: PlannerEventOf<'store-transacted'>): PlannerEffect[] {
	const {id, outcome, at} = event;
	if (id.startsWith('claim-')) {
		return holdLease(planner, event);
	}

	const pending = planner.pending.get(id);
	const {lease} = planner;
	if (pending === undefined || lease.type !== 'held') {
		return [];
	}

	planner.pending.delete(id);
	if (!outcome.ok) {
		if (outcome.reason === 'outcome-unknown' || id.startsWith('read-')) {
			planner.pending.set(id, {...pending, unread: true});
		}

		return [];
	}

	const {succeeded, revision, entries} = outcome.value;
	const effects: PlannerEffect[] = [];
	if (succeeded && !id.startsWith('read-')) {
		for (const [key, value] of pending.puts) {
			effects.push(...applyEntry(planner, key, value === undefined ? undefined : {value, modRevision: revision}));
		}
	} else {
		const [holder, ...records] = entries;
		if (holder?.modRevision !== lease.fencing) {
			planner.lease = {type: 'none', retryAt: at + planner.settings.leaseTtlMs};
			planner.pending.clear();
			planner.actions.clear();
			return [{type: 'report', report: 'planner-stopped', subject: planner.id}];
		}

		for (const [index, key] of pending.keys.entries()) {
			effects.push(...applyEntry(planner, key, records[index]));
		}
	}

	for (const instance of listInstances(planner, pending.keys)) {
		effects.push(...followRecord(planner, instance, at));
	}

	return effects;
}
