import {claimRetryIntervalMs, maximumCachedClaimBuckets} from '../constants.js';
import {evictOldest} from '../evict-oldest.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node, type Task} from '../node/node.js';
import {endTask} from '../tasks/end-task.js';
import {enqueueAndDispatch} from '../tasks/enqueue-and-dispatch.js';
import {answerFromClaim} from './answer-from-claim.js';
import {
	type Bucket, type ClaimBatch, type ClaimUpdate, type Verdict,
} from './deduplication.js';
import {flushClaims} from './flush-claims.js';
import {parseBucket} from './parse-bucket.js';

/** Lost races in a row that are repeated at once; further ones wait for the write interval. */
const maximumImmediateRepeats = 3;

function cacheBucket(node: Node, storeKey: string, bucket: Bucket): void {
	const {buckets} = node.deduplication;
	buckets.delete(storeKey);
	buckets.set(storeKey, bucket);
	if (buckets.size > maximumCachedClaimBuckets) {
		evictOldest(buckets);
	}
}

function findClaiming(node: Node, update: ClaimUpdate): Task | undefined {
	const task = node.tasks.byId.get(update.taskId);
	return update.type === 'claim' && task?.state === 'claiming' ? task : undefined;
}

const verdictHandlers: {readonly [Type in Verdict['type']]: (node: Node, task: Task, verdict: Extract<Verdict, {type: Type}>, at: number) => Effect[]} = {
	applied: (node, task, _verdict, at) => enqueueAndDispatch(node, task, at),
	blocked: (node, task, {by}, at) => answerFromClaim(node, task, by, at),
	rejected: (node, task, _verdict, at) => endTask(node, task, {type: 'refused', reason: 'claim-unavailable'}, at),
};

function applyBatch(node: Node, batch: ClaimBatch, revision: number, at: number): Effect[] {
	for (const [storeKey, records] of batch.written) {
		cacheBucket(node, storeKey, {modRevision: revision, records});
	}

	const effects: Effect[] = [];
	for (const {update, verdict} of batch.results) {
		const task = findClaiming(node, update);
		if (task !== undefined) {
			const handler = verdictHandlers[verdict.type] as (node: Node, task: Task, verdict: Verdict, at: number) => Effect[];
			effects.push(...handler(node, task, verdict, at));
		}
	}

	return effects;
}

/** Puts updates back in line unless a later update of the same claim has replaced them. */
function repeatUpdates(node: Node, updates: readonly ClaimUpdate[]): void {
	const {pending} = node.deduplication;
	for (const update of updates) {
		const wanted = update.type !== 'claim' || findClaiming(node, update) !== undefined;
		if (wanted && !pending.has(update.record.claim)) {
			pending.set(update.record.claim, update);
		}
	}
}

/** The write had no effect; an earlier one of the same claim may have had one. */
function giveUp(node: Node, update: ClaimUpdate, at: number): Effect[] {
	const task = findClaiming(node, update);
	if (task === undefined) {
		return [];
	}

	task.claimed = update.sent > 1;
	return task.repeatable ? enqueueAndDispatch(node, task, at) : endTask(node, task, {type: 'refused', reason: 'claim-unavailable'}, at);
}

function recoverBatch(node: Node, batch: ClaimBatch, reason: string, at: number): Effect[] {
	node.deduplication.retryAt = at + claimRetryIntervalMs;
	const abandoned: ClaimUpdate[] = [];
	const repeated: ClaimUpdate[] = [];
	for (const {update} of batch.results) {
		(update.type === 'claim' && reason !== 'outcome-unknown' ? abandoned : repeated).push(update);
	}

	repeatUpdates(node, repeated);
	const counter = reason === 'outcome-unknown' ? 'claim.outcome-unknown' : 'claim.unavailable';
	const effects: Effect[] = [{type: 'count', counter}];
	for (const update of abandoned) {
		effects.push(...giveUp(node, update, at));
	}

	return effects;
}

/**
 * Handles the outcome of a claim write. A lost race is repeated on the content that won. A lost
 * answer is resolved by writing again: the comparison then fails and the content that is read back
 * shows whether it holds the claim's own identifier.
 *
 * @param node - the node, updated in place
 * @param event - the outcome
 * @returns starts, answers and refusals of the requests that waited, and the next write
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
		effects.push(...recoverBatch(node, batch, outcome.reason, at));
	} else if (outcome.value.succeeded) {
		deduplication.conflicts = 0;
		deduplication.retryAt = at;
		effects.push(...applyBatch(node, batch, outcome.value.revision, at));
	} else {
		deduplication.conflicts += 1;
		if (deduplication.conflicts <= maximumImmediateRepeats) {
			deduplication.writeAt = at;
		}

		for (const [index, storeKey] of batch.storeKeys.entries()) {
			cacheBucket(node, storeKey, parseBucket(outcome.value.entries[index]));
		}

		repeatUpdates(node, batch.results.map(({update}) => update));
		effects.push({type: 'count', counter: 'claim.conflict'});
	}

	effects.push(...flushClaims(node, at));
	return effects;
}
