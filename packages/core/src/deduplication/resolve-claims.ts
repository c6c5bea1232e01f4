import {claimRetryIntervalMs, maximumCachedClaimBuckets} from '../constants.js';
import {evictOldest} from '../evict-oldest.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node, type Task} from '../node/node.js';
import {endTask} from '../tasks/end-task.js';
import {enqueueAndDispatch} from '../tasks/enqueue-and-dispatch.js';
import {answerDuplicate} from './answer-duplicate.js';
import {
	type Bucket, type ClaimBatch, type ClaimUpdate, type UpdateOutcome,
} from './deduplication.js';
import {flushClaims} from './flush-claims.js';
import {parseBucket} from './parse-bucket.js';

/** Conflicts in a row that are retried at once; further ones wait for the write interval. */
const maximumImmediateRetries = 3;

function cacheBucket(node: Node, storeKey: string, bucket: Bucket): void {
	const {buckets} = node.deduplication;
	buckets.delete(storeKey);
	buckets.set(storeKey, bucket);
	if (buckets.size > maximumCachedClaimBuckets) {
		evictOldest(buckets);
	}
}

function findClaimingTask(node: Node, update: ClaimUpdate): Task | undefined {
	const task = node.tasks.byId.get(update.taskId);
	return update.type === 'claim' && task?.state === 'claiming' ? task : undefined;
}

const outcomeHandlers: {readonly [Type in UpdateOutcome['type']]: (node: Node, task: Task, outcome: Extract<UpdateOutcome, {type: Type}>, at: number) => Effect[]} = {
	applied: (node, task, _outcome, at) => enqueueAndDispatch(node, task, at),
	blocked: (node, task, {by}, at) => answerDuplicate(node, task, by, at),
	rejected: (node, task, _outcome, at) => endTask(node, task, {type: 'refused', reason: 'claim-unavailable'}, at),
};

function applyBatch(node: Node, batch: ClaimBatch, revision: number, at: number): Effect[] {
	for (const [storeKey, records] of batch.writtenBuckets) {
		cacheBucket(node, storeKey, {modRevision: revision, records});
	}

	const effects: Effect[] = [];
	for (const {update, outcome} of batch.results) {
		const task = findClaimingTask(node, update);
		if (task !== undefined) {
			const handler = outcomeHandlers[outcome.type] as (node: Node, task: Task, outcome: UpdateOutcome, at: number) => Effect[];
			effects.push(...handler(node, task, outcome, at));
		}
	}

	return effects;
}

/** Makes updates pending again, unless their task no longer waits or a later update of the same claim has replaced them. */
function requeueUpdates(node: Node, updates: readonly ClaimUpdate[]): void {
	const {pending} = node.deduplication;
	for (const update of updates) {
		const isStillNeeded = update.type !== 'claim' || findClaimingTask(node, update) !== undefined;
		if (isStillNeeded && !pending.has(update.record.claim)) {
			pending.set(update.record.claim, update);
		}
	}
}

/** Ends the wait for a claim whose write had no effect; an earlier write of the same claim may have had one. A repeatable request then runs although its claim is not recorded; any other is refused. */
function abandonUpdate(node: Node, update: ClaimUpdate, at: number): Effect[] {
	const task = findClaimingTask(node, update);
	if (task === undefined) {
		return [];
	}

	task.mayBeClaimed = update.writesSent > 1;
	return task.repeatable ? enqueueAndDispatch(node, task, at) : endTask(node, task, {type: 'refused', reason: 'claim-unavailable'}, at);
}

function handleFailedBatch(node: Node, batch: ClaimBatch, reason: string, at: number): Effect[] {
	node.deduplication.retryAt = at + claimRetryIntervalMs;
	const abandoned: ClaimUpdate[] = [];
	const repeated: ClaimUpdate[] = [];
	for (const {update} of batch.results) {
		(update.type === 'claim' && reason !== 'outcome-unknown' ? abandoned : repeated).push(update);
	}

	requeueUpdates(node, repeated);
	const counter = reason === 'outcome-unknown' ? 'claim.outcome-unknown' : 'claim.unavailable';
	const effects: Effect[] = [{type: 'count', counter}];
	for (const update of abandoned) {
		effects.push(...abandonUpdate(node, update, at));
	}

	return effects;
}

/**
 * Handles the outcome of a claim write. After a conflict, the updates are applied to the content read
 * back and written again. A lost answer is resolved by writing again: if the first write took effect, the comparison
 * fails, and the content read back holds the identifier of the claim.
 *
 * @param node - the node, updated in place
 * @param event - the outcome
 * @returns starts, answers and refusals of the waiting requests, and the next write
 * @example
 * resolveClaims(node, {type: 'store-transacted', at: 5, purpose: 'claim', id: 'entry-1-1', outcome});
 */
export function resolveClaims(node: Node, event: EventOf<'store-transacted'>): Effect[] {
	const {deduplication} = node;
	const {batch} = deduplication;
	const {outcome, at} = event;
	if (batch?.id !== event.id) {
		return [];
	}

	delete deduplication.batch;
	const effects: Effect[] = [];
	if (!outcome.ok) {
		effects.push(...handleFailedBatch(node, batch, outcome.reason, at));
	} else if (outcome.value.succeeded) {
		deduplication.conflicts = 0;
		deduplication.retryAt = at;
		effects.push(...applyBatch(node, batch, outcome.value.revision, at));
	} else {
		deduplication.conflicts += 1;
		if (deduplication.conflicts <= maximumImmediateRetries) {
			deduplication.writeAt = at;
		}

		for (const [index, storeKey] of batch.storeKeys.entries()) {
			cacheBucket(node, storeKey, parseBucket(outcome.value.entries[index]));
		}

		requeueUpdates(node, batch.results.map(({update}) => update));
		effects.push({type: 'count', counter: 'claim.conflict'});
	}

	effects.push(...flushClaims(node, at));
	return effects;
}
