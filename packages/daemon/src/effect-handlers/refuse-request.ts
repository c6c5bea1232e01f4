import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {writeProblem} from '../http/write-problem.js';
import {type EffectContext} from '../effect-context.js';

/**
 * Refuses a caller's request with a problem document; logs the refusal and counts its reason.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the request and the refusal
 * @example
 * refuseRequest(context, effect);
 */
export function refuseRequest(context: EffectContext, effect: EffectOf<'refuse'>): void {
	const {taskId, refusal} = effect;
	context.metrics.count(`refusal.${refusal.reason}`);
	context.logger.log('request-refused', {requestId: taskId, ...refusal});
	const pendingRequest = context.pendingRequests.get(taskId);
	context.pendingRequests.delete(taskId);
	if (pendingRequest !== undefined) {
		writeProblem(pendingRequest.response, refusal, {requestId: taskId});
	}
}
