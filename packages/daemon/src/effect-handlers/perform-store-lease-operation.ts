import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EventOf} from '@rosemaryquay/core/node/event';
import {type EffectContext} from '../effect-context.js';

type LeaseOutcome = EventOf<'store-leased'>['outcome'];

const storeLeaseOperations: Readonly<Record<EffectOf<'store-lease'>['operation'], (context: EffectContext, effect: EffectOf<'store-lease'>) => Promise<LeaseOutcome>>> = {
	async grant(context, {ttlMs}) {
		const outcome = await context.store.grantLease(ttlMs);
		return outcome.ok ? {ok: true, value: {leaseId: outcome.value, ttlMs}} : outcome;
	},
	async renew(context, {leaseId}) {
		const outcome = await context.store.renewLease(leaseId);
		return outcome.ok ? {ok: true, value: {leaseId, ttlMs: outcome.value}} : outcome;
	},
	async revoke(context, {leaseId}) {
		const outcome = await context.store.revokeLease(leaseId);
		return outcome.ok ? {ok: true, value: {leaseId, ttlMs: 0}} : outcome;
	},
};

/**
 * Grants, renews or revokes a lease in the store; the outcome is dispatched as `store-leased`.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the lease operation
 * @example
 * await performStoreLeaseOperation(context, effect);
 */
export async function performStoreLeaseOperation(context: EffectContext, effect: EffectOf<'store-lease'>): Promise<void> {
	const {purpose, id, operation} = effect;
	const pendingCall = storeLeaseOperations[operation](context, effect);
	if (operation === 'revoke') {
		context.pendingRevocations.add(pendingCall);
	}

	const outcome = await pendingCall;
	context.pendingRevocations.delete(pendingCall);
	context.dispatch({
		type: 'store-leased', at: context.now(), purpose, id, operation, outcome,
	});
}
