import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {portionBatchSize, portionRetryBackoffMs} from '../constants.js';
import {type Counter} from '../node/counters.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {type StoreFailure, type TransactionResult} from '../store/transaction.js';
import {applyRecord} from './apply-record.js';
import {type StoreCall, type CallItem} from './limits.js';
import {recordUnresolvedWrite} from './record-unresolved-write.js';
import {syncPortions} from './sync-portions.js';

function countEvent(counter: Counter): Effect {
	return {type: 'count', counter};
}

/** Determines from the record as read whether a write with an unknown outcome took effect. */
function resolveWrite(node: Node, team: string): Effect[] {
	const state = node.limits.teams.get(team);
	if (state?.unresolved === undefined || state.cached === undefined) {
		return [];
	}

	const {writeNumber, removed} = state.unresolved;
	const own = state.cached.record.portions[node.id];
	const written = removed ? own === undefined : own !== undefined && own.write >= writeNumber;
	delete state.unresolved;
	return [countEvent(written ? 'portion.resolved-written' : 'portion.resolved-not-written')];
}

/** Restores the pending writes from before a write that had no effect. */
function restorePendingWrites(node: Node, {team, proposal, previousPendingWrites}: CallItem): void {
	const state = node.limits.teams.get(team);
	if (state === undefined || proposal === undefined) {
		return;
	}

	if (previousPendingWrites === undefined) {
		delete state.pendingWrites;
	} else {
		state.pendingWrites = previousPendingWrites;
	}
}

function receiveFailure(node: Node, call: StoreCall, failure: StoreFailure): Effect[] {
	const {limits} = node;
	limits.retryAt = limits.now + portionRetryBackoffMs + uniformInt(node.random, 0, portionRetryBackoffMs);
	for (const item of call.items) {
		if (failure.reason === 'unavailable') {
			// The call certainly had no effect.
			restorePendingWrites(node, item);
		} else {
			recordUnresolvedWrite(node, item);
		}
	}

	return [countEvent('portion.call-failed')];
}

/** Restarts the reclaim delay of holders whose member records turned out to exist; `entries` are the member records as read. */
function restartReclaimDelay(node: Node, call: StoreCall, entries: TransactionResult['entries']): void {
	const {absentSince} = node.limits.liveness;
	for (const [index, id] of call.holdersToReclaim.entries()) {
		if (entries[index] !== undefined) {
			for (const key of absentSince.keys()) {
				if (key.startsWith(`${id}/`)) {
					absentSince.set(key, node.limits.now);
				}
			}
		}
	}
}

function receiveResult(node: Node, call: StoreCall, result: TransactionResult): Effect[] {
	const {limits} = node;
	const effects: Effect[] = [];
	const entries = [...result.entries];
	for (const item of call.items) {
		const {team, proposal} = item;
		if (!result.succeeded) {
			restorePendingWrites(node, item);
		}

		const entry = result.succeeded && proposal !== undefined
			? {value: JSON.stringify(proposal), modRevision: result.revision}
			: entries.shift();
		if (!applyRecord(node, team, entry)) {
			effects.push(countEvent('portion.invalid-record'));
		}

		effects.push(...resolveWrite(node, team));
	}

	const writes = call.items.filter(item => item.proposal !== undefined).length;
	if (result.succeeded) {
		limits.writeBatchSize = writes > 0 ? Math.min(portionBatchSize, limits.writeBatchSize * 2) : limits.writeBatchSize;
		effects.push(...call.holdersToReclaim.map(() => countEvent('portion.reclaimed')));
	} else {
		limits.writeBatchSize = Math.max(1, Math.floor(Math.min(writes, limits.writeBatchSize) / 2));
		effects.push(countEvent('portion.conflict'));
		// What is left of the entries are the member records, in the order of `holdersToReclaim`.
		restartReclaimDelay(node, call, entries);
	}

	return effects;
}

/**
 * Handles the answer to a store call for portions. Answers to any call but the one in flight are
 * dropped: they are duplicates, or arrived after the call had timed out.
 *
 * @param node - the node, updated in place
 * @param event - the answer
 * @returns counters, and the next store call if one is due
 * @example
 * receivePortions(node, {type: 'store-transacted', at: 5, purpose: 'portion', id: '1', outcome});
 */
export function receivePortions(node: Node, event: EventOf<'store-transacted'>): Effect[] {
	const {limits} = node;
	const {inFlightCall} = limits;
	if (inFlightCall?.id !== event.id) {
		return [countEvent('portion.stale-answer')];
	}

	limits.inFlightCall = undefined;
	limits.lastCallFailed = !event.outcome.ok;
	const effects = event.outcome.ok ? receiveResult(node, inFlightCall, event.outcome.value) : receiveFailure(node, inFlightCall, event.outcome);
	return [...effects, ...syncPortions(node)];
}
