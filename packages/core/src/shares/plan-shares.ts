import {
	creditHorizonMs, maximumCreditMs, shareRefreshMs, summaryRetentionMs, urgentReserve,
} from '../constants.js';
import {listSummaries} from '../membership/list-summaries.js';
import {type Node} from '../node/node.js';
import {countCapacity} from './count-capacity.js';
import {divideCapacity, type Claim} from './divide-capacity.js';
import {type PoolShares} from './shares.js';

/** Settles the slot time used since the last plan against the parts that it gave. */
function settleCredits(pool: PoolShares, elapsedMs: number): void {
	for (const account of pool.accounts.values()) {
		if (!pool.full) {
			account.credit = 0;
			continue;
		}

		const limit = maximumCreditMs * Math.max(1, account.part);
		const credit = account.credit + ((account.part - account.running) * elapsedMs);
		// A team without waiting work saves nothing for later.
		const most = account.queued === 0 ? 0 : Math.min(limit, creditHorizonMs * Math.max(1, account.part));
		account.credit = Math.min(Math.max(credit, -limit), most);
	}
}

type Elsewhere = {readonly byTeam: Map<string, {all: number; urgent: number}>; readonly running: number};

function sumDemandElsewhere(node: Node, name: string, at: number): Elsewhere {
	const byTeam: Elsewhere['byTeam'] = new Map();
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

function partOf(share: number, own: number, all: number): number {
	return all <= 0 ? 0 : (share * own) / all;
}

function updateParts(pool: PoolShares, shares: ReadonlyMap<string, number>, elsewhere: Elsewhere): void {
	for (const [team, account] of pool.accounts) {
		const own = account.running + account.queued;
		const ownUrgent = account.urgent + (pool.flows.get(`${team}/urgent`)?.tasks.length ?? 0);
		const others = elsewhere.byTeam.get(team) ?? {all: 0, urgent: 0};
		const share = shares.get(team) ?? 0;
		const urgent = ownUrgent + others.urgent;
		const urgentShare = Math.min(share, urgent);
		// Urgent demand is met first, by whichever instances have it; the rest follows the other demand.
		account.urgentWithin = urgent <= share;
		account.urgentPart = partOf(urgentShare, ownUrgent, urgent);
		account.part = account.urgentPart + partOf(share - urgentShare, own - ownUrgent, own + others.all - urgent);
		if (own === 0 && account.credit === 0) {
			pool.accounts.delete(team);
		}
	}
}

/**
 * Computes the weighted max-min shares of a pool over the whole fleet and this node's part of each,
 * in proportion to its part of the team's demand. Does nothing while the last plan is recent.
 *
 * @param node - the node, updated in place
 * @param name - name of the pool
 * @param at - now, in milliseconds
 * @param options - `force` computes even when the last plan is recent
 * @example
 * planShares(node, 'web', at);
 */
export function planShares(node: Node, name: string, at: number, options: {force?: boolean} = {}): void {
	const {force = false} = options;
	const pool = node.shares.pools.get(name);
	if (pool === undefined || (!force && at - pool.plannedAt < shareRefreshMs)) {
		return;
	}

	// After a pause the old parts say nothing about the slot time that was used meanwhile.
	settleCredits(pool, Math.min(at - pool.plannedAt, summaryRetentionMs));
	const elsewhere = sumDemandElsewhere(node, name, at);
	const {teams} = node.snapshot.catalogue;
	const claims = new Map<string, Claim>();
	let demandInAll = 0;
	for (const team of new Set([...pool.accounts.keys(), ...elsewhere.byTeam.keys()])) {
		const account = pool.accounts.get(team);
		const demand = (account?.running ?? 0) + (account?.queued ?? 0) + (elsewhere.byTeam.get(team)?.all ?? 0);
		const entry = teams[team];
		if (entry !== undefined && demand > 0) {
			claims.set(team, {demand: Math.min(demand, entry.limits.running), weight: entry.share});
			demandInAll += Math.min(demand, entry.limits.running);
		}
	}

	pool.capacity = countCapacity(node, name, at);
	pool.reserve = hasUrgentQueue(node, name) ? Math.ceil(pool.capacity * urgentReserve) : 0;
	pool.runningElsewhere = elsewhere.running;
	pool.full = demandInAll >= pool.capacity;
	updateParts(pool, divideCapacity(claims, pool.capacity), elsewhere);
	pool.plannedAt = at;
}
