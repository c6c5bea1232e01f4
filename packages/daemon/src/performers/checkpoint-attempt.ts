import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Asks a worker to save an attempt's progress; the attempt itself ends with the outcome `checkpointed`.
 *
 * @param host - the host
 * @param effect - the attempt
 * @example
 * checkpointAttempt(host, effect);
 */
export function checkpointAttempt(host: Host, effect: EffectOf<'checkpoint-attempt'>): void {
	const flight = host.flights.get(effect.attemptId);
	if (flight !== undefined) {
		void host.workers.checkpoint(flight.address, effect.attemptId);
	}
}
