import {type Effect} from '../node/effect.js';
import {type Execution, type Reason, refusals} from '../refusal.js';

/**
 * Creates the effect that refuses a request.
 *
 * @param taskId - identifier of the request
 * @param reason - the refusal reason
 * @param options - `execution` when it differs from the default of the reason, and a detail for the caller
 * @returns the effect
 * @example
 * createRefusal('r-1', 'queue-full');
 */
export function createRefusal(taskId: string, reason: Reason, options: {execution?: Execution; detail?: string} = {}): Effect {
	const {execution = refusals[reason].execution, detail} = options;
	return {type: 'refuse', taskId, refusal: {reason, execution, ...(detail !== undefined && {detail})}};
}
