import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EffectContext} from '../effect-context.js';

/**
 * Cancels an attempt: aborts its HTTP request and tells the worker to stop the task.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the attempt to cancel
 * @example
 * cancelAttempt(context, effect);
 */
export function cancelAttempt(context: EffectContext, effect: EffectOf<'cancel-attempt'>): void {
	const attempt = context.activeAttempts.get(effect.attemptId);
	if (attempt === undefined) {
		return;
	}

	attempt.cancelled = true;
	attempt.abort?.();
	void context.workers.cancel(attempt.address, effect.attemptId);
}
