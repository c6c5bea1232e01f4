import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Runs a store transaction; its outcome is dispatched as `store-transacted`.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the transaction
 * @example
 * await runStoreTransaction(host, effect);
 */
export async function runStoreTransaction(host: Host, effect: EffectOf<'store-transact'>): Promise<void> {
	const {purpose, id, transaction} = effect;
	const outcome = await host.store.transact(transaction);
	host.dispatch({
		type: 'store-transacted', at: host.now(), purpose, id, outcome,
	});
}
