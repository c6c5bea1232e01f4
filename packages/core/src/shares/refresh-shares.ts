import {
	creditHorizonMs, maximumDebtMs, shareRefreshMs, summaryRetentionMs, urgentReserveFraction,
} from '../constants.js';
import {listSummaries} from '../membership/list-summaries.js';
import {type Node} from '../node/node.js';
import {countCapacity} from './count-capacity.js';
import {divideCapacity, type WeightedDemand} from './divide-capacity.js';
import {type PoolShares} from './shares.js';

/** Adds the difference between the local shares and the slot time used since the last refresh to the credits, within bounds. */
function updateCredits(pool: PoolShares, elapsedMs: number): void {
	for (const account of pool.accounts.values()) {
		if (!pool.saturated) {
			account.credit = 0;
			continue;
		}

		const maximumDebt = maximumDebtMs * Math.max(1, account.localShare);
		const credit = account.credit + ((account.localShare - account.running) * elapsedMs);
		// A team without queued tasks accumulates no credit. Credit is bounded by what `creditHorizonMs` of the local share give, debt by `maximumDebtMs` for each slot.
		const maximumCredit = account.queued === 0 ? 0 : Math.min(maximumDebt, creditHorizonMs * Math.max(1, account.localShare));
		account.credit = Math.min(Math.max(credit, -maximumDebt), maximumCredit);
	}
}

type RemoteDemand = {readonly byTeam: Map<string, {all: number; urgent: number}>; readonly running: number};

function sumRemoteDemand(node: Node, name: string, at: number): RemoteDemand {
	const byTeam: RemoteDemand['byTeam'] = new Map();
	let running = 0;
	for (const summary of listSummaries(node, at)) {
		if (!Object.hasOwn(summary.demand, name)) {
			continue;
		}

		for (const [team, demand] of Object.entries(summary.demand[name] ?? {})) {
			const sum = byTeam.get(team) ?? {all: 0, urgent: 0};
			sum.all += demand.running + demand.queued;
			sum.urgent += demand.urgent ?? 0;
			byTeam.set(team, sum);
			running += demand.running;
		}
	}

	return {byTeam, running};
}

function hasUrgentQueue(node: Node, name: string): boolean {
	const {queues, services} = node.snapshot.catalogue;
	for (const queue of Object.values(queues)) {
		if (queue.class === 'urgent' && services[queue.service]?.pool === name) {
			return true;
		}
	}

	return false;
}

function computeProportion(share: number, own: number, all: number): number {
	return all <= 0 ? 0 : (share * own) / all;
}

function updateLocalShares(pool: PoolShares, shares: ReadonlyMap<string, number>, remote: RemoteDemand): void {
	for (const [team, account] of pool.accounts) {
		const own = account.running + account.queued;
		const ownUrgent = account.runningUrgent + (pool.flows.get(`${team}/urgent`)?.tasks.length ?? 0);
		const others = remote.byTeam.get(team) ?? {all: 0, urgent: 0};
		const share = shares.get(team) ?? 0;
		const urgent = ownUrgent + others.urgent;
		const urgentShare = Math.min(share, urgent);
		// The share covers urgent demand first, at the nodes that have it; the rest is split by the other demand.
		account.urgentWithinShare = urgent <= share;
		account.localUrgentShare = computeProportion(urgentShare, ownUrgent, urgent);
		account.localShare = account.localUrgentShare + computeProportion(share - urgentShare, own - ownUrgent, own + others.all - urgent);
		if (own === 0 && account.credit === 0) {
			pool.accounts.delete(team);
		}
	}
}

/**
 * Computes the weighted max-min fair shares of a pool over the whole fleet, and this node's local share
 * of each in proportion to its part of the team's demand. Does nothing while the last refresh is recent.
 *
 * @param node - the node, updated in place
 * @param name - name of the pool
 * @param at - now, in milliseconds
 * @param options - `force` computes the shares even when the last refresh is recent
 * @example
 * refreshShares(node, 'web', at);
 */
export function refreshShares(node: Node, name: string, at: number, options: {force?: boolean} = {}): void {
	const {force = false} = options;
	const pool = node.shares.pools.get(name);
	if (pool === undefined || (!force && at - pool.refreshedAt < shareRefreshMs)) {
		return;
	}

	// After a long pause, the old local shares say nothing about the slot time that was used meanwhile, so that only `summaryRetentionMs` of it counts.
	updateCredits(pool, Math.min(at - pool.refreshedAt, summaryRetentionMs));
	const remote = sumRemoteDemand(node, name, at);
	const {teams} = node.snapshot.catalogue;
	const demands = new Map<string, WeightedDemand>();
	let totalDemand = 0;
	for (const team of new Set([...pool.accounts.keys(), ...remote.byTeam.keys()])) {
		const account = pool.accounts.get(team);
		const demand = (account?.running ?? 0) + (account?.queued ?? 0) + (remote.byTeam.get(team)?.all ?? 0);
		const entry = teams[team];
		if (entry !== undefined && demand > 0) {
			demands.set(team, {demand: Math.min(demand, entry.limits.running), weight: entry.share});
			totalDemand += Math.min(demand, entry.limits.running);
		}
	}

	pool.capacity = countCapacity(node, name, at);
	pool.reservedSlots = hasUrgentQueue(node, name) ? Math.ceil(pool.capacity * urgentReserveFraction) : 0;
	pool.remoteRunning = remote.running;
	pool.saturated = totalDemand >= pool.capacity;
	updateLocalShares(pool, divideCapacity(demands, pool.capacity), remote);
	pool.refreshedAt = at;
}
