import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EffectContext} from '../effect-context.js';

/**
 * Lists the store entries below a prefix; the listing is dispatched as `store-listed`.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the prefix
 * @example
 * await listStoreEntries(context, effect);
 */
export async function listStoreEntries(context: EffectContext, effect: EffectOf<'store-list'>): Promise<void> {
	const {purpose, id, prefix} = effect;
	const outcome = await context.store.list(prefix);
	context.dispatch({
		type: 'store-listed', at: context.now(), purpose, id, outcome,
	});
}
