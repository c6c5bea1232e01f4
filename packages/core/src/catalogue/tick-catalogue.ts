import {
	confirmationIntervalMs, maximumConfirmationsPerSecond, millisecondsPerSecond, summaryRetentionMs,
} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {buildCorrection} from './build-correction.js';
import {nameKeys} from './name-keys.js';
import {reconcileStore} from './reconcile-store.js';
import {retryEdits} from './retry-edits.js';

/** Time that the watch has to deliver a revision that was seen elsewhere before the store is listed. */
const watchLagMs = 200;

/** Shortest time between two listings of the whole catalogue. */
const listingPauseMs = 200;

/** Interval between further listings for the same revision. */
const relistIntervalMs = 1000;

function listStore(node: Node, prefix: string, at: number): Effect[] {
	const {catalogue} = node;
	const {higher} = catalogue;
	const lagging = higher !== undefined && higher.revision > catalogue.accepted.revision && at - higher.shownAt <= summaryRetentionMs && at - higher.listedAt >= (higher.listedAt === higher.seenAt ? watchLagMs : relistIntervalMs);
	if (lagging) {
		catalogue.higher = {...higher, listedAt: at};
	}

	const wanted = lagging || catalogue.listWanted || !catalogue.listed;
	// While an old head is corrected, each listing shows the same; the pause keeps them from using up the store.
	if (catalogue.listing || !wanted || catalogue.correcting !== undefined || (catalogue.listed && at - catalogue.listSentAt < listingPauseMs)) {
		return [];
	}

	catalogue.listing = true;
	catalogue.listSentAt = at;
	const effects: Effect[] = catalogue.listed ? [{type: 'count', counter: 'catalogue.relisted'}] : [];
	return [...effects, {
		type: 'store-list', purpose: 'catalogue', id: 'all', prefix: nameKeys(prefix).all,
	}];
}

function readHead(node: Node, prefix: string, at: number): Effect[] {
	const {catalogue, membership} = node;
	const shared = (membership.records.size * millisecondsPerSecond) / maximumConfirmationsPerSecond;
	if (catalogue.headPendingAt !== undefined || at - catalogue.headAskedAt < Math.max(confirmationIntervalMs, shared)) {
		return [];
	}

	catalogue.headAskedAt = at;
	catalogue.headPendingAt = at;
	return [{
		type: 'store-list', purpose: 'catalogue', id: 'head', prefix: nameKeys(prefix).head,
	}];
}

function correctStore(node: Node, prefix: string, at: number): Effect[] {
	const {catalogue} = node;
	if (catalogue.correctAt === undefined || catalogue.correctAt > at || catalogue.correcting !== undefined) {
		return [];
	}

	catalogue.correctAt = undefined;
	const id = `correction-${catalogue.corrections + 1}`;
	const found = reconcileStore(catalogue.accepted, catalogue.view, prefix);
	const correction = buildCorrection(catalogue.accepted, catalogue.view, found, {prefix, requestId: `${node.id}-${id}`});
	if (correction === undefined) {
		return [];
	}

	const {transaction, ...counts} = correction;
	catalogue.corrections += 1;
	catalogue.correcting = {id, ...counts};
	return [{
		type: 'store-transact', purpose: 'catalogue', id, transaction,
	}];
}

/**
 * Keeps the catalogue in step with the store: lists it, watches it, reads the head, corrects it and
 * sends edits again, each when it is due and no more often than the backoff allows.
 *
 * @param node - the node, updated in place
 * @param event - an event with the time
 * @returns the store calls
 * @example
 * tickCatalogue(node, {at: 300});
 */
export function tickCatalogue(node: Node, event: {readonly at: number}): Effect[] {
	const {catalogue} = node;
	const {prefix} = catalogue;
	if (prefix === undefined) {
		return [];
	}

	const {at} = event;
	const edits = retryEdits(node, at);
	if (at < catalogue.retryAt && catalogue.failures > 0) {
		return edits;
	}

	const effects = [...edits, ...correctStore(node, prefix, at), ...listStore(node, prefix, at)];
	if (catalogue.listed && !catalogue.watching && !catalogue.listing && !catalogue.listWanted) {
		catalogue.watching = true;
		catalogue.watchId += 1;
		effects.push({
			type: 'store-watch', purpose: 'catalogue', id: String(catalogue.watchId), prefix: nameKeys(prefix).all, fromRevision: catalogue.viewRevision + 1,
		});
	}

	if (catalogue.listed) {
		effects.push(...readHead(node, prefix, at));
	}

	return effects;
}
