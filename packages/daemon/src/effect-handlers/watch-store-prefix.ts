import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Watches a prefix of the store; each update is dispatched as `store-watched` until the watch ends.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the prefix and the revision to start from
 * @example
 * watchStorePrefix(host, effect);
 */
export function watchStorePrefix(host: Host, effect: EffectOf<'store-watch'>): void {
	const {purpose, id, prefix, fromRevision} = effect;
	const watchId = `${purpose}-${id}`;
	const stopWatch = host.store.watch(prefix, fromRevision, update => {
		if (update.type !== 'changed') {
			host.activeWatches.delete(watchId);
		}

		host.dispatch({
			type: 'store-watched', at: host.now(), purpose, id, update: update.type === 'compacted' ? {type: 'compacted'} : update,
		});
	});
	host.activeWatches.set(watchId, stopWatch);
}
