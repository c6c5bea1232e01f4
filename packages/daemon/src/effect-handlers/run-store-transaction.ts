import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EffectContext} from '../effect-context.js';

/**
 * Runs a store transaction; its outcome is dispatched as `store-transacted`.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the transaction
 * @example
 * await runStoreTransaction(context, effect);
 */
export async function runStoreTransaction(context: EffectContext, effect: EffectOf<'store-transact'>): Promise<void> {
	const {purpose, id, transaction} = effect;
	const outcome = await context.store.transact(transaction);
	context.dispatch({
		type: 'store-transacted', at: context.now(), purpose, id, outcome,
	});
}
