import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Slows an attempt down at its worker for a time.
 *
 * @param host - the host
 * @param effect - the attempt
 * @example
 * throttleAttempt(host, effect);
 */
export function throttleAttempt(host: Host, effect: EffectOf<'throttle-attempt'>): void {
	const flight = host.flights.get(effect.attemptId);
	if (flight !== undefined) {
		void host.workers.throttle(flight.address, effect.attemptId, effect.durationMs);
	}
}
