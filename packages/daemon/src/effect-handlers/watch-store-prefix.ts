import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EffectContext} from '../effect-context.js';

/**
 * Watches a prefix of the store; each update is dispatched as `store-watched` until the watch ends.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the prefix and the revision to start from
 * @example
 * watchStorePrefix(context, effect);
 */
export function watchStorePrefix(context: EffectContext, effect: EffectOf<'store-watch'>): void {
	const {purpose, id, prefix, fromRevision} = effect;
	const watchId = `${purpose}-${id}`;
	const stopWatch = context.store.watch(prefix, fromRevision, update => {
		if (update.type !== 'changed') {
			context.activeWatches.delete(watchId);
		}

		// The event carries no revision after a compaction; the reducer lists the prefix again.
		context.dispatch({
			type: 'store-watched', at: context.now(), purpose, id, update: update.type === 'compacted' ? {type: 'compacted'} : update,
		});
	});
	context.activeWatches.set(watchId, stopWatch);
}
