import {clockDriftMarginMs} from '../constants.js';
import {type StoreFailure} from '../store/transaction.js';
import {type Planner, type PlannerEffect, type PlannerEventOf} from './planner.js';

/** Parts of the lease's time to live between two renewals. */
const renewalsPerTtl = 3;

function stop(planner: Planner, at: number): PlannerEffect[] {
	const {lease} = planner;
	planner.lease = {type: 'none', retryAt: at + (planner.settings.leaseTtlMs / renewalsPerTtl)};
	planner.pending.clear();
	planner.actions.clear();
	return lease.type === 'held' ? [{type: 'report', report: 'planner-stopped', subject: planner.id}] : [];
}

/** Asks for the records until a listing has been taken over. */
function tickLoad(planner: Planner, at: number): PlannerEffect[] {
	if (planner.lease.type !== 'held' || planner.lease.loaded || at < planner.loadSentAt + planner.settings.pollMs) {
		return [];
	}

	planner.loadSentAt = at;
	return [{type: 'store-list', id: 'load', prefix: `${planner.prefix}fleet/`}];
}

function claim(planner: Planner, leaseId: string): PlannerEffect[] {
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

type Answer =
	| PlannerEventOf<'tick'>
	| PlannerEventOf<'lease-granted'>
	| PlannerEventOf<'lease-renewed'>
	| PlannerEventOf<'store-transacted'>;

function tick(planner: Planner, at: number): PlannerEffect[] {
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
			return at >= lease.sentAt + leaseTtlMs ? stop(planner, at) : [];
		}

		case 'claiming': {
			if (at >= lease.validUntil) {
				return stop(planner, at);
			}

			planner.lease = {...lease, unread: false};
			return lease.unread ? claim(planner, lease.leaseId) : [];
		}

		case 'held': {
			if (at >= lease.validUntil) {
				return stop(planner, at);
			}

			const effects = tickLoad(planner, at);
			if (at < lease.renewSentAt + (leaseTtlMs / renewalsPerTtl)) {
				return effects;
			}

			planner.lease = {...lease, renewSentAt: at};
			return [...effects, {type: 'renew-lease', leaseId: lease.leaseId, sentAt: at}];
		}
	}
}

function takeClaim(planner: Planner, event: PlannerEventOf<'store-transacted'>): PlannerEffect[] {
	const {lease} = planner;
	if (lease.type !== 'claiming') {
		return [];
	}

	if (!event.outcome.ok) {
		// The claim may have taken effect; sent again by the next tick, it reads back who holds the key.
		if (event.outcome.reason !== 'outcome-unknown') {
			return stop(planner, event.at);
		}

		planner.lease = {...lease, unread: true};
		return [];
	}

	const {succeeded, revision, entries} = event.outcome.value;
	const [entry] = entries;
	if (!succeeded && entry?.leaseId !== lease.leaseId) {
		return stop(planner, event.at);
	}

	planner.lease = {
		type: 'held', leaseId: lease.leaseId, fencing: succeeded ? revision : entry?.modRevision ?? revision, validUntil: lease.validUntil, renewSentAt: lease.sentAt, loaded: false,
	};
	planner.loadSentAt = Number.NEGATIVE_INFINITY;
	planner.instances.clear();
	planner.unsettled.clear();
	planner.budgets.clear();
	planner.plan = undefined;
	return [{type: 'report', report: 'planner-started', subject: planner.id}, ...tickLoad(planner, event.at)];
}

function isLost(failure: StoreFailure): boolean {
	return failure.reason === 'lease-lost';
}

/**
 * Acquires and renews the planner lease. Its validity counts from when the request was sent, less
 * the clock drift margin, so that a paused planner stops before another one can start.
 *
 * @param planner - the planner, updated in place
 * @param event - a tick or an answer that concerns the lease
 * @returns the calls to make
 * @example
 * const effects = holdLease(planner, {type: 'tick', at: 0, utcMs: Date.now()});
 */
export function holdLease(planner: Planner, event: Answer): PlannerEffect[] {
	const {lease, settings} = planner;
	if (event.type === 'tick') {
		return tick(planner, event.at);
	}

	if (event.type === 'store-transacted') {
		return takeClaim(planner, event);
	}

	if (event.type === 'lease-granted') {
		if (lease.type !== 'granting') {
			return [];
		}

		if (!event.outcome.ok) {
			return stop(planner, event.at);
		}

		const leaseId = event.outcome.value;
		planner.lease = {
			type: 'claiming', leaseId, sentAt: lease.sentAt, validUntil: lease.sentAt + settings.leaseTtlMs - clockDriftMarginMs, unread: false,
		};
		return claim(planner, leaseId);
	}

	if (lease.type !== 'held' || lease.leaseId !== event.leaseId) {
		return [];
	}

	if (event.outcome.ok) {
		planner.lease = {...lease, validUntil: event.sentAt + settings.leaseTtlMs - clockDriftMarginMs};
		return [];
	}

	return isLost(event.outcome) ? stop(planner, event.at) : [];
}
