import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Lists the store entries below a prefix; the listing is dispatched as `store-listed`.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the prefix
 * @example
 * await listStoreKeys(host, effect);
 */
export async function listStoreKeys(host: Host, effect: EffectOf<'store-list'>): Promise<void> {
	const {purpose, id, prefix} = effect;
	const outcome = await host.store.list(prefix);
	host.dispatch({
		type: 'store-listed', at: host.now(), purpose, id, outcome,
	});
}
