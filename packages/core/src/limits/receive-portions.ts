import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {portionBatchSize, portionRetryMs} from '../constants.js';
import {type Counter} from '../node/counters.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {type StoreFailure, type TransactionResult} from '../store/transaction.js';
import {adoptRecord} from './adopt-record.js';
import {type Call, type CallItem} from './limits.js';
import {noteLostWrite} from './note-lost-write.js';
import {syncPortions} from './sync-portions.js';

function count(counter: Counter): Effect {
	return {type: 'count', counter};
}

/** Finds out how a write whose answer was lost has turned out. */
function resolveWrite(node: Node, team: string): Effect[] {
	const held = node.limits.teams.get(team);
	if (held?.lost === undefined || held.view === undefined) {
		return [];
	}

	const {write, removed} = held.lost;
	const own = held.view.record.portions[node.id];
	const written = removed ? own === undefined : own !== undefined && own.write >= write;
	delete held.lost;
	return [count(written ? 'portion.resolved-written' : 'portion.resolved-not-written')];
}

/** Returns to the state before a write that had no effect. */
function withdrawWrite(node: Node, {team, proposal, previous}: CallItem): void {
	const held = node.limits.teams.get(team);
	if (held === undefined || proposal === undefined) {
		return;
	}

	if (previous === undefined) {
		delete held.uncertain;
	} else {
		held.uncertain = previous;
	}
}

function receiveFailure(node: Node, call: Call, failure: StoreFailure): Effect[] {
	const {limits} = node;
	limits.retryAt = limits.now + portionRetryMs + uniformInt(node.random, 0, portionRetryMs);
	for (const item of call.items) {
		if (failure.reason === 'unavailable') {
			withdrawWrite(node, item);
		} else {
			noteLostWrite(node, item);
		}
	}

	return [count('portion.call-failed')];
}

/** A member that was to be reclaimed is present: its wait starts again. */
function noteReturned(node: Node, call: Call, entries: TransactionResult['entries']): void {
	const {absentSince} = node.limits.liveness;
	for (const [index, id] of call.reclaimed.entries()) {
		if (entries[index] !== undefined) {
			for (const name of absentSince.keys()) {
				if (name.startsWith(`${id}/`)) {
					absentSince.set(name, node.limits.now);
				}
			}
		}
	}
}

function receiveResult(node: Node, call: Call, result: TransactionResult): Effect[] {
	const {limits} = node;
	const effects: Effect[] = [];
	const entries = [...result.entries];
	for (const item of call.items) {
		const {team, proposal} = item;
		if (!result.succeeded) {
			withdrawWrite(node, item);
		}

		const entry = result.succeeded && proposal !== undefined
			? {value: JSON.stringify(proposal), modRevision: result.revision}
			: entries.shift();
		if (!adoptRecord(node, team, entry)) {
			effects.push(count('portion.invalid-record'));
		}

		effects.push(...resolveWrite(node, team));
	}

	const writes = call.items.filter(item => item.proposal !== undefined).length;
	if (result.succeeded) {
		limits.batch = writes > 0 ? Math.min(portionBatchSize, limits.batch * 2) : limits.batch;
		effects.push(...call.reclaimed.map(() => count('portion.reclaimed')));
	} else {
		limits.batch = Math.max(1, Math.floor(Math.min(writes, limits.batch) / 2));
		effects.push(count('portion.conflict'));
		noteReturned(node, call, entries);
	}

	return effects;
}

/**
 * Handles the answer of a store call for portions. Answers to any call but the one in flight are
 * dropped: they are duplicates, or came after the call was given up.
 *
 * @param node - the node, updated in place
 * @param event - the answer
 * @returns counters, and the next store call if one is due
 * @example
 * receivePortions(node, {type: 'store-transacted', at: 5, purpose: 'portion', id: '1', outcome});
 */
export function receivePortions(node: Node, event: EventOf<'store-transacted'>): Effect[] {
	const {limits} = node;
	const {call} = limits;
	if (call?.id !== event.id) {
		return [count('portion.stale-answer')];
	}

	limits.call = undefined;
	limits.failing = !event.outcome.ok;
	const effects = event.outcome.ok ? receiveResult(node, call, event.outcome.value) : receiveFailure(node, call, event.outcome);
	return [...effects, ...syncPortions(node)];
}
