import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Follows changes of the store; each comes back as an event until the watch is over.
 *
 * @param host - the host
 * @param effect - the prefix and the first revision
 * @example
 * watchStore(host, effect);
 */
export function watchStore(host: Host, effect: EffectOf<'store-watch'>): void {
	const {purpose, id, prefix, fromRevision} = effect;
	const name = `${purpose}-${id}`;
	const stop = host.store.watch(prefix, fromRevision, report => {
		if (report.type !== 'changed') {
			host.watches.delete(name);
		}

		host.dispatch({
			type: 'store-watched', at: host.now(), purpose, id, report: report.type === 'compacted' ? {type: 'compacted'} : report,
		});
	});
	host.watches.set(name, stop);
}
