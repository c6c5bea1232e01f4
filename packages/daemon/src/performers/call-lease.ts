import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EventOf} from '@rosemaryquay/core/node/event';
import {type Host} from '../host.js';

type LeaseOutcome = EventOf<'store-leased'>['outcome'];

const calls: Readonly<Record<EffectOf<'store-lease'>['operation'], (host: Host, effect: EffectOf<'store-lease'>) => Promise<LeaseOutcome>>> = {
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
 * Grants, renews or revokes a lease; the outcome comes back as an event.
 *
 * @param host - the host
 * @param effect - the operation
 * @example
 * callLease(host, effect);
 */
export async function callLease(host: Host, effect: EffectOf<'store-lease'>): Promise<void> {
	const {purpose, id, operation} = effect;
	const call = calls[operation](host, effect);
	if (operation === 'revoke') {
		host.revocations.add(call);
	}

	const outcome = await call;
	host.revocations.delete(call);
	host.dispatch({
		type: 'store-leased', at: host.now(), purpose, id, operation, outcome,
	});
}
