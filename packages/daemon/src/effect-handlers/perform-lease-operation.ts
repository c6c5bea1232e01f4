import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EventOf} from '@rosemaryquay/core/node/event';
import {type Host} from '../host.js';

type LeaseOutcome = EventOf<'store-leased'>['outcome'];

const leaseOperations: Readonly<Record<EffectOf<'store-lease'>['operation'], (host: Host, effect: EffectOf<'store-lease'>) => Promise<LeaseOutcome>>> = {
	async grant(host, {ttlMs}) {
		const outcome = await host.store.grantLease(ttlMs);
		return outcome.ok ? {ok: true, value: {leaseId: outcome.value, ttlMs}} : outcome;
	},
	async renew(host, {leaseId}) {
		const outcome = await host.store.renewLease(leaseId);
		return outcome.ok ? {ok: true, value: {leaseId, ttlMs: outcome.value}} : outcome;
	},
	async revoke(host, {leaseId}) {
		const outcome = await host.store.revokeLease(leaseId);
		return outcome.ok ? {ok: true, value: {leaseId, ttlMs: 0}} : outcome;
	},
};

/**
 * Grants, renews or revokes a lease in the store; the outcome is dispatched as `store-leased`.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the lease operation
 * @example
 * await performLeaseOperation(host, effect);
 */
export async function performLeaseOperation(host: Host, effect: EffectOf<'store-lease'>): Promise<void> {
	const {purpose, id, operation} = effect;
	const pendingCall = leaseOperations[operation](host, effect);
	if (operation === 'revoke') {
		host.pendingRevocations.add(pendingCall);
	}

	const outcome = await pendingCall;
	host.pendingRevocations.delete(pendingCall);
	host.dispatch({
		type: 'store-leased', at: host.now(), purpose, id, operation, outcome,
	});
}
