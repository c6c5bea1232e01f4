import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {writeProblem} from '../http/write-problem.js';
import {type Host} from '../host.js';

/**
 * Refuses a caller's request with a problem document; logs the refusal and counts its reason.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the request and the refusal
 * @example
 * refuseRequest(host, effect);
 */
export function refuseRequest(host: Host, effect: EffectOf<'refuse'>): void {
	const {taskId, refusal} = effect;
	host.metrics.count(`refusal.${refusal.reason}`);
	host.logger.log('request-refused', {requestId: taskId, ...refusal});
	const pendingRequest = host.pendingRequests.get(taskId);
	host.pendingRequests.delete(taskId);
	if (pendingRequest !== undefined) {
		writeProblem(pendingRequest.response, refusal, {requestId: taskId});
	}
}
