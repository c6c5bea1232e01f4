import {Buffer} from 'node:buffer';
import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EffectContext} from '../effect-context.js';

/**
 * Sends the recorded answer of an earlier request with the same idempotency key.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the request and the recorded answer
 * @example
 * sendRecordedAnswer(context, {type: 'answer-recorded', taskId: 'r-2', answer});
 */
export function sendRecordedAnswer(context: EffectContext, effect: EffectOf<'answer-recorded'>): void {
	const {taskId, answer} = effect;
	const pendingRequest = context.pendingRequests.get(taskId);
	context.pendingRequests.delete(taskId);
	if (pendingRequest === undefined) {
		return;
	}

	const body = Buffer.from(answer.body, 'base64');
	pendingRequest.response.writeHead(answer.status, {
		'content-type': answer.contentType,
		'content-length': body.length,
		'rosemaryquay-request-id': taskId,
	});
	pendingRequest.response.end(body);
}
