import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Asks a worker to throttle an attempt for a limited time.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the attempt and the duration in milliseconds
 * @example
 * throttleAttempt(host, effect);
 */
export function throttleAttempt(host: Host, effect: EffectOf<'throttle-attempt'>): void {
	const attempt = host.activeAttempts.get(effect.attemptId);
	if (attempt !== undefined) {
		void host.workers.throttle(attempt.address, effect.attemptId, effect.durationMs);
	}
}
