import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Runs a store transaction; its outcome comes back as an event.
 *
 * @param host - the host
 * @param effect - the transaction
 * @example
 * transactStore(host, effect);
 */
export async function transactStore(host: Host, effect: EffectOf<'store-transact'>): Promise<void> {
	const {purpose, id, transaction} = effect;
	const outcome = await host.store.transact(transaction);
	host.dispatch({
		type: 'store-transacted', at: host.now(), purpose, id, outcome,
	});
}
