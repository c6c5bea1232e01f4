import {
	claimRetentionMs, maximumKeptAnswerLength, maximumKeptAnswersLength, maximumPendingClaims, maximumRecordedAnswerLength,
} from '../constants.js';
import {type Node, type Task} from '../node/node.js';
import {type ClaimRecord, type ClaimUpdate, type RecordedAnswer} from './deduplication.js';
import {describeClaim} from './describe-claim.js';
import {locateClaim} from './locate-claim.js';

/** How the request of a claim ended. */
export type ClaimEnding =
	| {readonly type: 'answered'; readonly answer?: RecordedAnswer}
	| {readonly type: 'unknown'}
	| {readonly type: 'not-run'};

function keepAnswer(node: Node, record: ClaimRecord, answer: RecordedAnswer, expiresAt: number): void {
	const {deduplication} = node;
	if (answer.body.length > maximumKeptAnswerLength) {
		return;
	}

	const {answers} = deduplication;
	deduplication.answersLength += answer.body.length - (answers.get(record.key)?.answer.body.length ?? 0);
	answers.delete(record.key);
	answers.set(record.key, {fingerprint: record.fingerprint, answer, expiresAt});
	for (const [key, kept] of answers) {
		if (deduplication.answersLength <= maximumKeptAnswersLength && kept.expiresAt > expiresAt - claimRetentionMs) {
			return;
		}

		answers.delete(key);
		deduplication.answersLength -= kept.answer.body.length;
	}
}

function describeEnding(record: ClaimRecord, ending: ClaimEnding): {type: 'settle' | 'release'; record: ClaimRecord} {
	if (ending.type === 'not-run') {
		return {type: 'release', record};
	}

	const {answer} = ending.type === 'answered' ? ending : {};
	const small = answer !== undefined && answer.body.length + answer.contentType.length <= maximumRecordedAnswerLength;
	return {type: 'settle', record: {...record, state: ending.type, ...(small && {answer})}};
}

/**
 * Records how the request of a claim ended. A request that did not run releases its claim, so that
 * its caller can submit it again.
 *
 * @param node - the node, updated in place
 * @param task - a task with an idempotency key
 * @param ending - how the request ended
 * @param at - now, in milliseconds
 * @example
 * endClaim(node, task, {type: 'not-run'}, at);
 */
export function endClaim(node: Node, task: Task, ending: ClaimEnding, at: number): void {
	const {active, pending, prefix} = node.deduplication;
	const record = describeClaim(node, task);
	if (active.get(record.key) !== task.id) {
		return;
	}

	active.delete(record.key);
	if (ending.type === 'answered' && ending.answer !== undefined) {
		keepAnswer(node, record, ending.answer, at + claimRetentionMs);
	}

	if (!task.claimed) {
		pending.delete(record.claim);
		return;
	}

	const update: ClaimUpdate = {
		...describeEnding(record, ending), taskId: task.id, storeKey: locateClaim(prefix, record.key), sent: 0,
	};
	// An ending that is not recorded leaves an open claim, which answers "outcome unknown".
	if (pending.has(record.claim) || pending.size < maximumPendingClaims) {
		pending.set(record.claim, update);
	}
}
