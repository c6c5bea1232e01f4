import {type Node} from '../node/node.js';
import {type Entry} from '../store/transaction.js';
import {formatRegistrationKey} from './format-registration-key.js';
import {computeFairShare} from './compute-fair-share.js';
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

/** Sets `absentSince` of the holders that have no member record under the registration of their portion; the reclaim delay counts from then. */
function recordAbsentHolders(node: Node, record: LimitRecord): void {
	const {present, absentSince} = node.limits.liveness;
	// Before the first member list, no holder is known to be absent.
	if (present.size === 0) {
		return;
	}

	for (const [holder, {registration}] of Object.entries(record.portions)) {
		const key = formatRegistrationKey(holder, registration);
		if (holder !== node.id && present.get(holder) !== registration && !absentSince.has(key)) {
			absentSince.set(key, node.limits.now);
		}
	}
}

/**
 * Caches a team's record as read from the store or as written by this node, and updates what follows from it.
 *
 * @param node - the node, updated in place
 * @param team - name of the team
 * @param entry - the entry in the store, `undefined` when there is none
 * @returns whether the record is valid; an invalid one grants no portion
 * @example
 * if (!applyRecord(node, 'team-a', entry)) count('portion.invalid-record');
 */
export function applyRecord(node: Node, team: string, entry: Pick<Entry, 'value' | 'modRevision'> | undefined): boolean {
	const state = node.limits.teams.get(team);
	if (state === undefined) {
		return true;
	}

	const record = entry === undefined ? createRecord(node, team) : parseRecord(entry.value);
	if (record === undefined) {
		delete state.cached;
		return false;
	}

	const modRevision = entry?.modRevision ?? 0;
	const previous = state.cached;
	if (previous !== undefined && modRevision < previous.modRevision) {
		// The store was restored to an earlier state. The portion from before counts as a pending write, so that this node uses the smaller of the two until it has written again.
		state.pendingWrites = {comparedRevision: modRevision, lowestCount: previous.record.portions[node.id]?.count ?? 0};
	} else if (state.pendingWrites !== undefined && modRevision > state.pendingWrites.comparedRevision) {
		// Writes that were compared with an earlier revision can no longer take effect.
		delete state.pendingWrites;
	}

	// A lowered limit is in force once all holders have reduced their portions. No task starts before that.
	const total = Object.values(record.portions).reduce((sum, {count}) => sum + count, 0);
	const contended = Object.entries(record.portions).some(([holder, {wanted, count}]) => holder !== node.id && wanted > count);
	state.cached = {
		record, modRevision, updatedAt: node.limits.now, freeSlots: record.limit - total, contended, fairShare: computeFairShare(record, node.id),
	};
	recordAbsentHolders(node, record);
	return true;
}
