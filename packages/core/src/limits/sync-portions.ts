import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {
	millisecondsPerSecond, portionBatchSize, portionCallBurst, portionCallIntervalMs, portionCallsPerSecond, portionCallTimeoutMs, portionRetryBackoffMs,
} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {type Operation} from '../store/transaction.js';
import {type StoreCall, type CallItem, type PortionState} from './limits.js';
import {mayUsePortions} from './may-use-portions.js';
import {recordUnresolvedWrite} from './record-unresolved-write.js';
import {type Plan, planRecord} from './plan-record.js';

type Candidate = {readonly team: string; readonly state: PortionState; readonly plan: Plan};

/** Starts to track the teams that have queued tasks and are not tracked yet. */
function trackTeams(node: Node): void {
	const {teams} = node.limits;
	for (const {accounts} of node.shares.pools.values()) {
		for (const [team, {queued}] of accounts) {
			if (queued > 0 && !teams.has(team)) {
				teams.set(team, {
					averageDemand: 0, averagedAt: node.limits.now, lastFullDemandAt: node.limits.now, plannedAt: Number.NEGATIVE_INFINITY, calledAt: Number.NEGATIVE_INFINITY,
				});
			}
		}
	}
}

/** Refills the token bucket of store calls. The interval grows with the number of members, so that the load on the store does not. */
function refillTokens(node: Node): void {
	const {limits} = node;
	const members = Math.max(limits.liveness.present.size, 1);
	const intervalMs = Math.max(portionCallIntervalMs, members * millisecondsPerSecond / portionCallsPerSecond);
	limits.callTokens = Math.min(portionCallBurst, limits.callTokens + (Math.max(0, limits.now - limits.refilledAt) / intervalMs));
	limits.refilledAt = limits.now;
}

function listCandidates(node: Node): Candidate[] {
	const candidates: Candidate[] = [];
	for (const [team, state] of node.limits.teams) {
		const plan = planRecord(node, team, state);
		if (plan !== undefined) {
			candidates.push({team, state, plan});
		}
	}

	// The records that have waited longest for a call come first.
	return candidates.toSorted((a, b) => a.state.calledAt - b.state.calledAt);
}

function createItem(node: Node, {team, state, plan}: Candidate): CallItem {
	const {limits} = node;
	const comparedRevision = state.cached?.modRevision ?? 0;
	const previousPendingWrites = state.pendingWrites;
	state.calledAt = limits.now;
	if (plan.proposal === undefined) {
		return {
			team, comparedRevision, previousPendingWrites, writeNumber: 0,
		};
	}

	limits.lastWriteNumber += 1;
	const count = plan.proposal.portions[node.id]?.count ?? 0;
	const lowestCount = previousPendingWrites?.comparedRevision === comparedRevision ? Math.min(previousPendingWrites.lowestCount, count) : count;
	state.pendingWrites = {comparedRevision, lowestCount};
	return {
		team, comparedRevision, proposal: plan.proposal, previousPendingWrites, writeNumber: limits.lastWriteNumber,
	};
}

function createTransaction(node: Node, items: readonly CallItem[], holdersToReclaim: readonly string[]): Effect & {type: 'store-transact'} {
	const {prefix, lastCallNumber} = node.limits;
	const keyOf = (team: string): string => `${prefix}limits/${team}`;
	const writes = items.filter(item => item.proposal !== undefined);
	const members = holdersToReclaim.map(id => `${prefix}members/${id}`);
	const reads: Operation[] = items.filter(item => item.proposal === undefined).map(({team}) => ({type: 'get', key: keyOf(team)}));
	return {
		type: 'store-transact',
		purpose: 'portion',
		id: String(lastCallNumber),
		transaction: {
			compare: [
				...writes.map(({team, comparedRevision}) => ({key: keyOf(team), modRevision: comparedRevision})),
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
	const writes = candidates.filter(({plan}) => plan.proposal !== undefined).slice(0, limits.writeBatchSize);
	const reads = candidates.filter(({plan}) => plan.proposal === undefined).slice(0, portionBatchSize - writes.length);
	if (writes.length + reads.length === 0) {
		return [];
	}

	// The return of portions in a shutdown does not wait for a token.
	limits.callTokens = Math.max(0, limits.callTokens - 1);
	limits.lastCallNumber += 1;
	// Writes come before reads, as in the transaction: the answer lists the entries in this order.
	const items = [...writes, ...reads].map(candidate => createItem(node, candidate));
	const holdersToReclaim = [...new Set(writes.flatMap(({plan}) => plan.reclaimable))];
	limits.inFlightCall = {
		id: String(limits.lastCallNumber), sentAt: limits.now, items, holdersToReclaim,
	} satisfies StoreCall;
	return [{type: 'count', counter: 'portion.call'}, createTransaction(node, items, holdersToReclaim)];
}

/** Times out a call without an answer; its writes may still take effect. */
function expireCall(node: Node): void {
	const {limits} = node;
	for (const item of limits.inFlightCall?.items ?? []) {
		recordUnresolvedWrite(node, item);
	}

	limits.inFlightCall = undefined;
	limits.lastCallFailed = true;
	limits.retryAt = limits.now + portionRetryBackoffMs + uniformInt(node.random, 0, portionRetryBackoffMs);
}

/**
 * Makes the next store call for portions if one is due: grants, returns, lowered limits, reclaims
 * and reads of several teams in one transaction. At most one call is in flight, and the rate
 * of calls is limited whatever the number of teams.
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

	if (limits.inFlightCall !== undefined && limits.now - limits.inFlightCall.sentAt >= portionCallTimeoutMs) {
		expireCall(node);
	}

	if (tasks.shuttingDown && tasks.byId.size === 0) {
		limits.returnStartedAt ??= limits.now;
	}

	refillTokens(node);
	const mayCall = limits.callTokens >= 1 || limits.returnStartedAt !== undefined;
	if (limits.inFlightCall !== undefined || !mayCall || limits.now < limits.retryAt) {
		return [];
	}

	// Without a valid lease a node makes calls only in a shutdown, to return its portions.
	if (!mayUsePortions(node, limits.now) && !tasks.shuttingDown) {
		return [];
	}

	trackTeams(node);
	return startCall(node);
}
