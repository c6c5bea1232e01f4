import {
	claimRetentionMs, claimCompletionIntervalMs, claimWriteIntervalMs, maximumClaimBucketsPerWrite, maximumClaimsPerBucket,
} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {type Operation} from '../store/transaction.js';
import {
	type Bucket, type ClaimRecord, type ClaimUpdate, type UpdateOutcome,
} from './deduplication.js';

const emptyBucket: Bucket = {modRevision: 0, records: new Map()};

type UpdateHandler = (records: Map<string, ClaimRecord>, record: ClaimRecord) => UpdateOutcome;

const updateHandlers: Readonly<Record<ClaimUpdate['type'], UpdateHandler>> = {
	claim(records, record) {
		const known = records.get(record.key);
		if (known !== undefined) {
			return known.claim === record.claim ? {type: 'applied'} : {type: 'blocked', by: known};
		}

		if (records.size >= maximumClaimsPerBucket) {
			return {type: 'rejected'};
		}

		records.set(record.key, record);
		return {type: 'applied'};
	},
	complete(records, record) {
		if (records.get(record.key)?.claim === record.claim) {
			records.set(record.key, record);
		}

		return {type: 'applied'};
	},
	release(records, record) {
		if (records.get(record.key)?.claim === record.claim) {
			records.delete(record.key);
		}

		return {type: 'applied'};
	},
};

function dequeueUpdates(node: Node): Map<string, ClaimUpdate[]> {
	const taken = new Map<string, ClaimUpdate[]>();
	for (const [id, update] of node.deduplication.pending) {
		const updates = taken.get(update.storeKey);
		if (updates !== undefined) {
			updates.push(update);
		} else if (taken.size < maximumClaimBucketsPerWrite) {
			taken.set(update.storeKey, [update]);
		} else {
			break;
		}

		node.deduplication.pending.delete(id);
	}

	return taken;
}

function isWriteDue(node: Node, at: number): boolean {
	const {
		batch, pending, writeAt, completionWriteAt, retryAt,
	} = node.deduplication;
	if (batch !== undefined || pending.size === 0 || at < writeAt) {
		return false;
	}

	if (at >= retryAt && (at >= completionWriteAt || node.tasks.shuttingDown)) {
		return true;
	}

	for (const update of pending.values()) {
		if (update.type === 'claim') {
			return true;
		}
	}

	return false;
}

function applyUpdates(bucket: Bucket, updates: readonly ClaimUpdate[], epochMs: number): {results: Array<{update: ClaimUpdate; outcome: UpdateOutcome}>; records?: Map<string, ClaimRecord>} {
	if (bucket.records === undefined) {
		return {results: updates.map(update => ({update, outcome: {type: 'rejected'}}))};
	}

	const records = new Map<string, ClaimRecord>();
	for (const [key, record] of bucket.records) {
		if (record.deadlineAt + claimRetentionMs > epochMs) {
			records.set(key, record);
		}
	}

	return {records, results: updates.map(update => ({update, outcome: updateHandlers[update.type](records, update.record)}))};
}

function hasChanged(before: ReadonlyMap<string, ClaimRecord> | undefined, after: ReadonlyMap<string, ClaimRecord>): boolean {
	if (before?.size !== after.size) {
		return true;
	}

	for (const [key, record] of after) {
		if (before.get(key) !== record) {
			return true;
		}
	}

	return false;
}

/**
 * Writes the pending claim updates of this node in one transaction (group commit). At most one is in
 * flight; updates that arrive meanwhile go into the next one. The transaction compares the revision of every bucket
 * with that from which the outcomes were computed, and reads the buckets back when one has changed.
 *
 * @param node - the node, updated in place
 * @param at - now, in milliseconds
 * @returns at most one `store-transact`
 * @example
 * const effects = flushClaims(node, at);
 */
export function flushClaims(node: Node, at: number): Effect[] {
	if (!isWriteDue(node, at)) {
		return [];
	}

	const {deduplication} = node;
	const results: Array<{update: ClaimUpdate; outcome: UpdateOutcome}> = [];
	const writtenBuckets = new Map<string, ReadonlyMap<string, ClaimRecord>>();
	const taken = dequeueUpdates(node);
	const success: Operation[] = [];
	for (const [storeKey, updates] of taken) {
		const bucket = deduplication.buckets.get(storeKey) ?? emptyBucket;
		const applied = applyUpdates(bucket, updates, at + deduplication.clockOriginMs);
		results.push(...applied.results);
		if (applied.records !== undefined && hasChanged(bucket.records, applied.records)) {
			writtenBuckets.set(storeKey, applied.records);
			success.push({type: 'put', key: storeKey, value: JSON.stringify([...applied.records.values()])});
		}
	}

	for (const {update} of results) {
		update.writesSent += 1;
		const task = update.type === 'claim' ? node.tasks.byId.get(update.taskId) : undefined;
		if (task !== undefined) {
			task.mayBeClaimed = true;
		}
	}

	const storeKeys = [...taken.keys()];
	const id = `${node.id}-${deduplication.nextBatchNumber}`;
	deduplication.nextBatchNumber += 1;
	deduplication.writeAt = at + claimWriteIntervalMs;
	deduplication.completionWriteAt = at + claimCompletionIntervalMs;
	deduplication.batch = {
		id, results, storeKeys, writtenBuckets,
	};
	return [
		{type: 'count', counter: 'claim.written'},
		{
			type: 'store-transact', purpose: 'claim', id, transaction: {
				compare: storeKeys.map(key => ({key, modRevision: deduplication.buckets.get(key)?.modRevision ?? 0})),
				success,
				failure: storeKeys.map(key => ({type: 'get', key})),
			},
		},
	];
}
