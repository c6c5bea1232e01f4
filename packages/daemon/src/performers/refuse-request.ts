import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {writeProblem} from '../http/write-problem.js';
import {type Host} from '../host.js';

/**
 * Refuses a caller's request and counts the reason.
 *
 * @param host - the host
 * @param effect - the refusal
 * @example
 * refuseRequest(host, effect);
 */
export function refuseRequest(host: Host, effect: EffectOf<'refuse'>): void {
	const {taskId, refusal} = effect;
	host.metrics.count(`refusal.${refusal.reason}`);
	host.logger.log('request-refused', {requestId: taskId, ...refusal});
	const exchange = host.exchanges.get(taskId);
	host.exchanges.delete(taskId);
	if (exchange !== undefined) {
		writeProblem(exchange.response, refusal, {requestId: taskId});
	}
}
