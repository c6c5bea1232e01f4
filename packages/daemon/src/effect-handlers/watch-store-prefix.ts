import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Watches a prefix of the store; each report is dispatched as `store-watched` until the watch ends.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the prefix and the revision to start from
 * @example
 * watchStorePrefix(host, effect);
 */
export function watchStorePrefix(host: Host, effect: EffectOf<'store-watch'>): void {
	const {purpose, id, prefix, fromRevision} = effect;
	const watchId = `${purpose}-${id}`;
	const stopWatch = host.store.watch(prefix, fromRevision, report => {
		if (report.type !== 'changed') {
			host.activeWatches.delete(watchId);
		}

		host.dispatch({
			type: 'store-watched', at: host.now(), purpose, id, report: report.type === 'compacted' ? {type: 'compacted'} : report,
		});
	});
	host.activeWatches.set(watchId, stopWatch);
}
