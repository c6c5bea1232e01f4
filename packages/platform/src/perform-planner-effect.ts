import {type PlannerEffect, type PlannerEvent} from '@rosemaryquay/core/maintenance/planner';
import {type Store} from '@rosemaryquay/core/store/store';
import {type InstanceActions} from './instance-actions.js';

/** Dependencies of the handlers of planner effects. */
export type PlannerHost = {
	readonly store: Store;
	readonly actions: InstanceActions;
	/** Milliseconds on the process's monotonic clock. */
	now(): number;
	dispatch(event: PlannerEvent): void;
	report(report: Extract<PlannerEffect, {type: 'report'}>): void;
};

type EffectHandler<Type extends PlannerEffect['type']> = (host: PlannerHost, effect: Extract<PlannerEffect, {type: Type}>) => Promise<void> | void;

const effectHandlers: {readonly [Type in PlannerEffect['type']]: EffectHandler<Type>} = {
	async 'grant-lease'(host, {ttlMs}) {
		const outcome = await host.store.grantLease(ttlMs);
		host.dispatch({type: 'lease-granted', at: host.now(), outcome});
	},
	async 'renew-lease'(host, {leaseId, sentAt}) {
		const outcome = await host.store.renewLease(leaseId);
		host.dispatch({
			type: 'lease-renewed', at: host.now(), leaseId, sentAt, outcome,
		});
	},
	async 'store-transact'(host, {id, transaction}) {
		const outcome = await host.store.transact(transaction);
		host.dispatch({
			type: 'store-transacted', at: host.now(), id, outcome,
		});
	},
	async 'store-list'(host, {id, prefix}) {
		const outcome = await host.store.list(prefix);
		host.dispatch({
			type: 'store-listed', at: host.now(), id, outcome,
		});
	},
	async 'perform-action'(host, {instance, generation, action, deadlineMs, target}) {
		const state = await host.actions.perform(instance, action, {generation, ...(deadlineMs !== undefined && {deadlineMs}), ...(target !== undefined && {target})});
		host.dispatch({
			type: 'action-answered', at: host.now(), instance, generation, state,
		});
	},
	async 'read-action'(host, {instance, generation}) {
		const state = await host.actions.readAction(instance, generation);
		host.dispatch({
			type: 'action-answered', at: host.now(), instance, generation, state,
		});
	},
	report(host, effect) {
		host.report(effect);
	},
};

/**
 * Performs one effect of the planner and dispatches its outcome as an event.
 *
 * @param host - store, instance actions, clock and event sink
 * @param effect - the effect
 * @returns a promise that resolves when the outcome has been dispatched
 * @example
 * for (const effect of reducePlanner(planner, event)) void performPlannerEffect(host, effect);
 */
export async function performPlannerEffect(host: PlannerHost, effect: PlannerEffect): Promise<void> {
	await (effectHandlers[effect.type] as EffectHandler<PlannerEffect['type']>)(host, effect);
}
