import {clockDriftMarginMs} from '../constants.js';
import {type StoreFailure} from '../store/transaction.js';
import {type Planner, type PlannerEffect, type PlannerEventOf} from './planner.js';

/** Number of renewals within one time to live of the lease. */
const renewalsPerTtl = 3;

/** Returns to the state without a lease, after a lost lease or a failed attempt, and retries after a renewal interval. */
function resetLease(planner: Planner, at: number): PlannerEffect[] {
	const {lease} = planner;
	planner.lease = {type: 'none', retryAt: at + (planner.settings.leaseTtlMs / renewalsPerTtl)};
	planner.pendingTransactions.clear();
	planner.actions.clear();
	return lease.type === 'held' ? [{type: 'report', report: 'planner-stopped', subject: planner.id}] : [];
}

/** Lists the fleet records, and retries at the polling interval until a listing has been loaded. */
function requestRecords(planner: Planner, at: number): PlannerEffect[] {
	if (planner.lease.type !== 'held' || planner.lease.loaded || at < planner.loadSentAt + planner.settings.pollIntervalMs) {
		return [];
	}

	planner.loadSentAt = at;
	return [{type: 'store-list', id: 'load', prefix: `${planner.prefix}fleet/`}];
}

function claimPlannerKey(planner: Planner, leaseId: string): PlannerEffect[] {
	const key = `${planner.prefix}fleet/planner`;
	planner.sequence += 1;
	return [{
		type: 'store-transact',
		id: `claim-${planner.sequence}`,
		transaction: {
			compare: [{key, modRevision: 0}],
			success: [{
				type: 'put', key, value: JSON.stringify({holder: planner.id}), leaseId,
			}],
			failure: [{type: 'get', key}],
		},
	}];
}

type LeaseEvent =
	| PlannerEventOf<'tick'>
	| PlannerEventOf<'lease-granted'>
	| PlannerEventOf<'lease-renewed'>
	| PlannerEventOf<'store-transacted'>;

function tickLease(planner: Planner, at: number): PlannerEffect[] {
	const {lease, settings} = planner;
	const {leaseTtlMs} = settings;
	switch (lease.type) {
		case 'none': {
			if (at < lease.retryAt) {
				return [];
			}

			planner.lease = {type: 'granting', sentAt: at};
			return [{type: 'grant-lease', ttlMs: leaseTtlMs}];
		}

		case 'granting': {
			return at >= lease.sentAt + leaseTtlMs ? resetLease(planner, at) : [];
		}

		case 'claiming': {
			if (at >= lease.validUntil) {
				return resetLease(planner, at);
			}

			planner.lease = {...lease, needsClaimRetry: false};
			return lease.needsClaimRetry ? claimPlannerKey(planner, lease.leaseId) : [];
		}

		case 'held': {
			if (at >= lease.validUntil) {
				return resetLease(planner, at);
			}

			const effects = requestRecords(planner, at);
			if (at < lease.renewSentAt + (leaseTtlMs / renewalsPerTtl)) {
				return effects;
			}

			planner.lease = {...lease, renewSentAt: at};
			return [...effects, {type: 'renew-lease', leaseId: lease.leaseId, sentAt: at}];
		}
	}
}

function handleClaimOutcome(planner: Planner, event: PlannerEventOf<'store-transacted'>): PlannerEffect[] {
	const {lease} = planner;
	if (lease.type !== 'claiming') {
		return [];
	}

	if (!event.outcome.ok) {
		// The claim may have taken effect. The next tick sends it again, which also reads back the holder of the key.
		if (event.outcome.reason !== 'outcome-unknown') {
			return resetLease(planner, event.at);
		}

		planner.lease = {...lease, needsClaimRetry: true};
		return [];
	}

	const {succeeded, revision, entries} = event.outcome.value;
	const [entry] = entries;
	if (!succeeded && entry?.leaseId !== lease.leaseId) {
		return resetLease(planner, event.at);
	}

	planner.lease = {
		type: 'held', leaseId: lease.leaseId, fencingToken: succeeded ? revision : entry?.modRevision ?? revision, validUntil: lease.validUntil, renewSentAt: lease.sentAt, loaded: false,
	};
	planner.loadSentAt = Number.NEGATIVE_INFINITY;
	planner.instances.clear();
	planner.instancesToReconcile.clear();
	planner.budgets.clear();
	planner.plan = undefined;
	return [{type: 'report', report: 'planner-started', subject: planner.id}, ...requestRecords(planner, event.at)];
}

function isLeaseLost(failure: StoreFailure): boolean {
	return failure.reason === 'lease-lost';
}

/**
 * Acquires and renews the planner lease. Its validity is counted from when the request was sent, minus the clock drift
 * margin, so that a planner whose process was paused stops before another planner can start.
 *
 * @param planner - the planner, updated in place
 * @param event - a tick, or the answer to a lease request or claim
 * @returns the store calls to make and reports of starting and stopping
 * @example
 * const effects = advanceLease(planner, {type: 'tick', at: 0, utcMs: Date.now()});
 */
export function advanceLease(planner: Planner, event: LeaseEvent): PlannerEffect[] {
	const {lease, settings} = planner;
	if (event.type === 'tick') {
		return tickLease(planner, event.at);
	}

	if (event.type === 'store-transacted') {
		return handleClaimOutcome(planner, event);
	}

	if (event.type === 'lease-granted') {
		if (lease.type !== 'granting') {
			return [];
		}

		if (!event.outcome.ok) {
			return resetLease(planner, event.at);
		}

		const leaseId = event.outcome.value;
		planner.lease = {
			type: 'claiming', leaseId, sentAt: lease.sentAt, validUntil: lease.sentAt + settings.leaseTtlMs - clockDriftMarginMs, needsClaimRetry: false,
		};
		return claimPlannerKey(planner, leaseId);
	}

	if (lease.type !== 'held' || lease.leaseId !== event.leaseId) {
		return [];
	}

	if (event.outcome.ok) {
		planner.lease = {...lease, validUntil: event.sentAt + settings.leaseTtlMs - clockDriftMarginMs};
		return [];
	}

	return isLeaseLost(event.outcome) ? resetLease(planner, event.at) : [];
}
