import {Buffer} from 'node:buffer';
import {maximumCachedAnswerCharacters} from '@rosemaryquay/core/constants';
import {type RecordedAnswer} from '@rosemaryquay/core/deduplication/deduplication';
import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type ActiveAttempt, type EffectContext} from '../effect-context.js';
import {type WorkerResponse} from '../worker-client.js';

/** Largest response body that is recorded as an answer: Base64 encodes 3 bytes as 4 characters. */
const maximumRecordedBodyBytes = Math.floor(maximumCachedAnswerCharacters / 4) * 3;

/** Encodes a worker's response as the answer to later requests with the same idempotency key; absent when the body is too large. */
function encodeRecordedAnswer(response: WorkerResponse | undefined): {answer?: RecordedAnswer} {
	if (response === undefined || response.body.length > maximumRecordedBodyBytes) {
		return {};
	}

	return {answer: {status: response.status, contentType: response.contentType, body: Buffer.from(response.body).toString('base64')}};
}

async function runAttempt(context: EffectContext, effect: EffectOf<'start-attempt'>): Promise<void> {
	const {
		taskId, attemptId, address, timeoutMs, includeAnswer, resumedAttemptId,
	} = effect;
	const pendingRequest = context.pendingRequests.get(taskId);
	if (pendingRequest === undefined) {
		// The caller's request has ended, so there is nothing to send; `not-started` has no cause of its own for this.
		context.dispatch({
			type: 'attempt-finished', at: context.now(), attemptId, outcome: {type: 'not-started', cause: 'connection-refused'},
		});
		return;
	}

	const attempt: ActiveAttempt = {address, cancelled: false};
	context.activeAttempts.set(attemptId, attempt);
	const {outcome, response} = await context.workers.runAttempt({
		attemptId, address, timeoutMs, contentType: pendingRequest.contentType, body: pendingRequest.body, ...(resumedAttemptId !== undefined && {resumedAttemptId}), onStart(abort) {
			attempt.abort = abort;
			if (attempt.cancelled) {
				abort();
			}
		},
	});
	context.activeAttempts.delete(attemptId);
	if (response !== undefined) {
		context.workerResponses.set(attemptId, response);
	}

	context.dispatch({
		type: 'attempt-finished', at: context.now(), attemptId, outcome: outcome.type === 'succeeded' && includeAnswer ? {...outcome, ...encodeRecordedAnswer(response)} : outcome,
	});
	context.workerResponses.delete(attemptId);
}

/**
 * Starts an attempt at a worker; when it has ended, the outcome is dispatched as `attempt-finished`.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the attempt to start
 * @example
 * startAttempt(context, effect);
 */
export function startAttempt(context: EffectContext, effect: EffectOf<'start-attempt'>): void {
	void runAttempt(context, effect);
}
