import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Asks a worker to save the progress of an attempt, which then ends with the outcome `checkpointed`.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the attempt to checkpoint
 * @example
 * checkpointAttempt(host, effect);
 */
export function checkpointAttempt(host: Host, effect: EffectOf<'checkpoint-attempt'>): void {
	const attempt = host.activeAttempts.get(effect.attemptId);
	if (attempt !== undefined) {
		void host.workers.checkpoint(attempt.address, effect.attemptId);
	}
}
