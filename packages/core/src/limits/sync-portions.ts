import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {
	millisecondsPerSecond, portionBatchSize, portionCallBurst, portionCallIntervalMs, portionCallsPerSecond, portionCallTimeoutMs, portionRetryMs,
} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {type Operation} from '../store/transaction.js';
import {type Call, type CallItem, type HeldPortion} from './limits.js';
import {mayUsePortions} from './may-use-portions.js';
import {noteLostWrite} from './note-lost-write.js';
import {type Plan, planRecord} from './plan-record.js';

type Candidate = {readonly team: string; readonly held: HeldPortion; readonly plan: Plan};

/** Adds the teams that have demand and are not known yet. */
function trackTeams(node: Node): void {
	const {teams} = node.limits;
	for (const {accounts} of node.shares.pools.values()) {
		for (const [team, {queued}] of accounts) {
			if (queued > 0 && !teams.has(team)) {
				teams.set(team, {
					demand: 0, demandAt: node.limits.now, neededAt: node.limits.now, plannedAt: Number.NEGATIVE_INFINITY, calledAt: Number.NEGATIVE_INFINITY,
				});
			}
		}
	}
}

/** Refills the calls that may be made now; the interval grows with the members, so that the store's load does not. */
function refillTokens(node: Node): void {
	const {limits} = node;
	const members = Math.max(limits.liveness.present.size, 1);
	const intervalMs = Math.max(portionCallIntervalMs, members * millisecondsPerSecond / portionCallsPerSecond);
	limits.tokens = Math.min(portionCallBurst, limits.tokens + (Math.max(0, limits.now - limits.refilledAt) / intervalMs));
	limits.refilledAt = limits.now;
}

function listCandidates(node: Node): Candidate[] {
	const candidates: Candidate[] = [];
	for (const [team, held] of node.limits.teams) {
		const plan = planRecord(node, team, held);
		if (plan !== undefined) {
			candidates.push({team, held, plan});
		}
	}

	// The records that have waited longest come first.
	return candidates.toSorted((a, b) => a.held.calledAt - b.held.calledAt);
}

function createItem(node: Node, {team, held, plan}: Candidate): CallItem {
	const {limits} = node;
	const compared = held.view?.modRevision ?? 0;
	const previous = held.uncertain;
	held.calledAt = limits.now;
	if (plan.proposal === undefined) {
		return {
			team, compared, previous, write: 0,
		};
	}

	limits.writes += 1;
	const count = plan.proposal.portions[node.id]?.count ?? 0;
	const lowest = previous?.compared === compared ? Math.min(previous.count, count) : count;
	held.uncertain = {compared, count: lowest};
	return {
		team, compared, proposal: plan.proposal, previous, write: limits.writes,
	};
}

function createTransaction(node: Node, items: readonly CallItem[], reclaimed: readonly string[]): Effect & {type: 'store-transact'} {
	const {prefix, calls} = node.limits;
	const keyOf = (team: string): string => `${prefix}limits/${team}`;
	const writes = items.filter(item => item.proposal !== undefined);
	const members = reclaimed.map(id => `${prefix}members/${id}`);
	const reads: Operation[] = items.filter(item => item.proposal === undefined).map(({team}) => ({type: 'get', key: keyOf(team)}));
	return {
		type: 'store-transact',
		purpose: 'portion',
		id: String(calls),
		transaction: {
			compare: [
				...writes.map(({team, compared}) => ({key: keyOf(team), modRevision: compared})),
				...members.map(key => ({key, modRevision: 0})),
			],
			success: [
				...writes.map(({team, proposal}): Operation => ({type: 'put', key: keyOf(team), value: JSON.stringify(proposal)})),
				...reads,
			],
			failure: [
				...writes.map(({team}): Operation => ({type: 'get', key: keyOf(team)})),
				...reads,
				...members.map((key): Operation => ({type: 'get', key})),
			],
		},
	};
}

function startCall(node: Node): Effect[] {
	const {limits} = node;
	const candidates = listCandidates(node);
	const writes = candidates.filter(({plan}) => plan.proposal !== undefined).slice(0, limits.batch);
	const reads = candidates.filter(({plan}) => plan.proposal === undefined).slice(0, portionBatchSize - writes.length);
	if (writes.length + reads.length === 0) {
		return [];
	}

	limits.tokens = Math.max(0, limits.tokens - 1);
	limits.calls += 1;
	// Writes come first: the answer lists the entries in this order.
	const items = [...writes, ...reads].map(candidate => createItem(node, candidate));
	const reclaimed = [...new Set(writes.flatMap(({plan}) => plan.vanished))];
	limits.call = {
		id: String(limits.calls), sentAt: limits.now, items, reclaimed,
	} satisfies Call;
	return [{type: 'count', counter: 'portion.call'}, createTransaction(node, items, reclaimed)];
}

/** Gives up a call that was not answered; its writes may still take effect. */
function expireCall(node: Node): void {
	const {limits} = node;
	for (const item of limits.call?.items ?? []) {
		noteLostWrite(node, item);
	}

	limits.call = undefined;
	limits.failing = true;
	limits.retryAt = limits.now + portionRetryMs + uniformInt(node.random, 0, portionRetryMs);
}

/**
 * Makes the next store call for portions if one is due: grants, returns, lowered limits, reclaims
 * and reads of several teams in one transaction. At most one call is in flight, and calls are
 * limited in rate whatever the number of teams.
 *
 * @param node - the node, updated in place
 * @returns a `store-transact` for the purpose `portion`, or nothing
 * @example
 * effects.push(...syncPortions(node));
 */
export function syncPortions(node: Node): Effect[] {
	const {limits, tasks} = node;
	if (limits.soleHolder) {
		return [];
	}

	if (limits.call !== undefined && limits.now - limits.call.sentAt >= portionCallTimeoutMs) {
		expireCall(node);
	}

	if (tasks.shuttingDown && tasks.byId.size === 0) {
		limits.returningSince ??= limits.now;
	}

	refillTokens(node);
	const mayCall = limits.tokens >= 1 || limits.returningSince !== undefined;
	if (limits.call !== undefined || !mayCall || limits.now < limits.retryAt) {
		return [];
	}

	if (!mayUsePortions(node, limits.now) && !tasks.shuttingDown) {
		return [];
	}

	trackTeams(node);
	return startCall(node);
}
