import {
	claimRetentionMs, maximumCachedAnswerCharacters, maximumAnswerCacheCharacters, maximumPendingClaims, maximumRecordedAnswerCharacters,
} from '../constants.js';
import {type Node, type Task} from '../node/node.js';
import {type ClaimRecord, type ClaimUpdate, type RecordedAnswer} from './deduplication.js';
import {createClaimRecord} from './create-claim-record.js';
import {buildBucketKey} from './build-bucket-key.js';

/** How the request of a claim ended. */
export type ClaimOutcome =
	| {readonly type: 'answered'; readonly answer?: RecordedAnswer}
	| {readonly type: 'unknown'}
	| {readonly type: 'not-run'};

function cacheAnswer(node: Node, record: ClaimRecord, answer: RecordedAnswer, expiresAt: number): void {
	const {deduplication} = node;
	if (answer.body.length > maximumCachedAnswerCharacters) {
		return;
	}

	const {cachedAnswers} = deduplication;
	deduplication.cachedAnswerCharacters += answer.body.length - (cachedAnswers.get(record.key)?.answer.body.length ?? 0);
	cachedAnswers.delete(record.key);
	cachedAnswers.set(record.key, {fingerprint: record.fingerprint, answer, expiresAt});
	// Removes expired answers, and the oldest ones while the cache is too large; `expiresAt - claimRetentionMs` is now.
	for (const [key, cached] of cachedAnswers) {
		if (deduplication.cachedAnswerCharacters <= maximumAnswerCacheCharacters && cached.expiresAt > expiresAt - claimRetentionMs) {
			return;
		}

		cachedAnswers.delete(key);
		deduplication.cachedAnswerCharacters -= cached.answer.body.length;
	}
}

function createEndingUpdate(record: ClaimRecord, ending: ClaimOutcome): {type: 'complete' | 'release'; record: ClaimRecord} {
	if (ending.type === 'not-run') {
		return {type: 'release', record};
	}

	const {answer} = ending.type === 'answered' ? ending : {};
	const isRecordable = answer !== undefined && answer.body.length + answer.contentType.length <= maximumRecordedAnswerCharacters;
	return {type: 'complete', record: {...record, state: ending.type, ...(isRecordable && {answer})}};
}

/**
 * Records how the request of a claim ended. The claim of a request that did not run is released, so
 * that the caller can submit it again.
 *
 * @param node - the node, updated in place
 * @param task - a task with an idempotency key
 * @param ending - how the request ended
 * @param at - now, in milliseconds
 * @example
 * endClaim(node, task, {type: 'not-run'}, at);
 */
export function endClaim(node: Node, task: Task, ending: ClaimOutcome, at: number): void {
	const {active, pending, prefix} = node.deduplication;
	const record = createClaimRecord(node, task);
	if (active.get(record.key) !== task.id) {
		return;
	}

	active.delete(record.key);
	if (ending.type === 'answered' && ending.answer !== undefined) {
		cacheAnswer(node, record, ending.answer, at + claimRetentionMs);
	}

	if (!task.mayBeClaimed) {
		pending.delete(record.claim);
		return;
	}

	const update: ClaimUpdate = {
		...createEndingUpdate(record, ending), taskId: task.id, storeKey: buildBucketKey(prefix, record.key), writesSent: 0,
	};
	// An ending that is not recorded leaves an open claim; duplicates are then refused with `claim-outcome-unknown`.
	if (pending.has(record.claim) || pending.size < maximumPendingClaims) {
		pending.set(record.claim, update);
	}
}
