import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {writeProblem} from '../http/write-problem.js';
import {type EffectContext} from '../effect-context.js';

/**
 * Sends the complete response of a worker to the caller, or an `answer-invalid` refusal when there is none.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the request and the attempt whose response is sent
 * @example
 * sendWorkerResponse(context, {type: 'answer', taskId: 'r-1', attemptId: 'a-1'});
 */
export function sendWorkerResponse(context: EffectContext, effect: EffectOf<'answer'>): void {
	const pendingRequest = context.pendingRequests.get(effect.taskId);
	const workerResponse = context.workerResponses.get(effect.attemptId);
	context.pendingRequests.delete(effect.taskId);
	if (pendingRequest === undefined) {
		return;
	}

	if (workerResponse === undefined) {
		writeProblem(pendingRequest.response, {reason: 'answer-invalid', execution: 'outcome unknown'}, {requestId: effect.taskId});
		return;
	}

	pendingRequest.response.writeHead(workerResponse.status, {
		'content-type': workerResponse.contentType,
		'content-length': workerResponse.body.length,
		'rosemaryquay-request-id': effect.taskId,
	});
	pendingRequest.response.end(workerResponse.body);
}
