import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Lists keys of the store; the listing comes back as an event.
 *
 * @param host - the host
 * @param effect - the prefix
 * @example
 * listStore(host, effect);
 */
export async function listStore(host: Host, effect: EffectOf<'store-list'>): Promise<void> {
	const {purpose, id, prefix} = effect;
	const outcome = await host.store.list(prefix);
	host.dispatch({
		type: 'store-listed', at: host.now(), purpose, id, outcome,
	});
}
