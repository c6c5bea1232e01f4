import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Cancels an attempt at its worker and closes its connection.
 *
 * @param host - the host
 * @param effect - the attempt
 * @example
 * cancelAttempt(host, effect);
 */
export function cancelAttempt(host: Host, effect: EffectOf<'cancel-attempt'>): void {
	const flight = host.flights.get(effect.attemptId);
	if (flight === undefined) {
		return;
	}

	flight.cancelled = true;
	flight.abort?.();
	void host.workers.cancel(flight.address, effect.attemptId);
}
