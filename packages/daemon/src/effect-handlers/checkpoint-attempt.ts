import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EffectContext} from '../effect-context.js';

/**
 * Asks a worker to save the progress of an attempt, which then ends with the outcome `checkpointed`.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the attempt to checkpoint
 * @example
 * checkpointAttempt(context, effect);
 */
export function checkpointAttempt(context: EffectContext, effect: EffectOf<'checkpoint-attempt'>): void {
	const attempt = context.activeAttempts.get(effect.attemptId);
	if (attempt !== undefined) {
		void context.workers.checkpoint(attempt.address, effect.attemptId);
	}
}
