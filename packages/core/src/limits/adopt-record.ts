import {type Node} from '../node/node.js';
import {type Entry} from '../store/transaction.js';
import {describeRegistration} from './describe-registration.js';
import {fairTarget} from './fair-target.js';
import {type LimitRecord, recordSchema} from './record.js';

function parseRecord(value: string): LimitRecord | undefined {
	try {
		return recordSchema.safeParse(JSON.parse(value)).data;
	} catch {
		return undefined;
	}
}

function createRecord(node: Node, team: string): LimitRecord {
	const limit = node.snapshot.catalogue.teams[team]?.limits.running ?? 0;
	return {limit, revision: node.snapshot.revision, portions: {}};
}

/** Starts the wait for holders that are not present and were not known to be absent. */
function noteAbsentHolders(node: Node, record: LimitRecord): void {
	const {present, absentSince} = node.limits.liveness;
	// Without a member list, nobody is known to be absent.
	if (present.size === 0) {
		return;
	}

	for (const [holder, {registration}] of Object.entries(record.portions)) {
		const name = describeRegistration(holder, registration);
		if (holder !== node.id && present.get(holder) !== registration && !absentSince.has(name)) {
			absentSince.set(name, node.limits.now);
		}
	}
}

/**
 * Takes a record as read from the store, or as written by this node, for the current one.
 *
 * @param node - the node, updated in place
 * @param team - name of the team
 * @param entry - the entry in the store, `undefined` when there is none
 * @returns whether the record is valid; an invalid one gives no portion
 * @example
 * if (!adoptRecord(node, 'team-a', entry)) count('portion.invalid-record');
 */
export function adoptRecord(node: Node, team: string, entry: Pick<Entry, 'value' | 'modRevision'> | undefined): boolean {
	const held = node.limits.teams.get(team);
	if (held === undefined) {
		return true;
	}

	const record = entry === undefined ? createRecord(node, team) : parseRecord(entry.value);
	if (record === undefined) {
		delete held.view;
		return false;
	}

	const modRevision = entry?.modRevision ?? 0;
	const previous = held.view;
	if (previous !== undefined && modRevision < previous.modRevision) {
		// The store was restored from an earlier state. Until the next write neither state may be exceeded.
		held.uncertain = {compared: modRevision, count: previous.record.portions[node.id]?.count ?? 0};
	} else if (held.uncertain !== undefined && modRevision > held.uncertain.compared) {
		// Writes over an earlier revision can no longer take effect.
		delete held.uncertain;
	}

	// A lowered limit is in force when every holder has reduced its portion; nothing starts before.
	const total = Object.values(record.portions).reduce((sum, {count}) => sum + count, 0);
	const pressed = Object.entries(record.portions).some(([holder, {wanted, count}]) => holder !== node.id && wanted > count);
	held.view = {
		record, modRevision, at: node.limits.now, free: record.limit - total, pressed, target: fairTarget(record, node.id),
	};
	noteAbsentHolders(node, record);
	return true;
}
