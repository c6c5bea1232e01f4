import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EffectContext} from '../effect-context.js';

/**
 * Asks a worker to throttle an attempt for a limited time.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the attempt and the duration in milliseconds
 * @example
 * throttleAttempt(context, effect);
 */
export function throttleAttempt(context: EffectContext, effect: EffectOf<'throttle-attempt'>): void {
	const attempt = context.activeAttempts.get(effect.attemptId);
	if (attempt !== undefined) {
		void context.workers.throttle(attempt.address, effect.attemptId, effect.durationMs);
	}
}
