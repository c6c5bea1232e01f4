import {Buffer} from 'node:buffer';
import {maximumCachedAnswerCharacters} from '@rosemaryquay/core/constants';
import {type RecordedAnswer} from '@rosemaryquay/core/deduplication/deduplication';
import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type ActiveAttempt, type Host} from '../host.js';
import {type WorkerResponse} from '../worker-client.js';

/** Largest response body that is recorded: Base64 encodes 3 bytes as 4 characters. */
const maximumRecordedBodyBytes = Math.floor(maximumCachedAnswerCharacters / 4) * 3;

function encodeRecordedAnswer(response: WorkerResponse | undefined): {answer?: RecordedAnswer} {
	if (response === undefined || response.body.length > maximumRecordedBodyBytes) {
		return {};
	}

	return {answer: {status: response.status, contentType: response.contentType, body: Buffer.from(response.body).toString('base64')}};
}

async function runAttempt(host: Host, effect: EffectOf<'start-attempt'>): Promise<void> {
	const {
		taskId, attemptId, address, timeoutMs, includeAnswer, resumedAttemptId,
	} = effect;
	const pendingRequest = host.pendingRequests.get(taskId);
	if (pendingRequest === undefined) {
		host.dispatch({
			type: 'attempt-finished', at: host.now(), attemptId, outcome: {type: 'not-started', cause: 'connection-refused'},
		});
		return;
	}

	const attempt: ActiveAttempt = {address, cancelled: false};
	host.activeAttempts.set(attemptId, attempt);
	const {outcome, response} = await host.workers.start({
		attemptId, address, timeoutMs, contentType: pendingRequest.contentType, body: pendingRequest.body, ...(resumedAttemptId !== undefined && {resumes: resumedAttemptId}), onStart(abort) {
			attempt.abort = abort;
			if (attempt.cancelled) {
				abort();
			}
		},
	});
	host.activeAttempts.delete(attemptId);
	if (response !== undefined) {
		host.workerResponses.set(attemptId, response);
	}

	host.dispatch({
		type: 'attempt-finished', at: host.now(), attemptId, outcome: outcome.type === 'succeeded' && includeAnswer ? {...outcome, ...encodeRecordedAnswer(response)} : outcome,
	});
	host.workerResponses.delete(attemptId);
}

/**
 * Sends a task to a worker; the outcome is dispatched as `attempt-finished`.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the attempt to start
 * @example
 * startAttempt(host, effect);
 */
export function startAttempt(host: Host, effect: EffectOf<'start-attempt'>): void {
	void runAttempt(host, effect);
}
