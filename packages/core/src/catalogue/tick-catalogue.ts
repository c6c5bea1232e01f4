import {
	confirmationIntervalMs, maximumConfirmationsPerSecond, millisecondsPerSecond, summaryRetentionMs,
} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {buildCorrection} from './build-correction.js';
import {buildCatalogueKeys} from './build-catalogue-keys.js';
import {compareWithStore} from './compare-with-store.js';
import {retryEdits} from './retry-edits.js';

/** Time for the watch to deliver a revision that was seen elsewhere; after it the store is listed. */
const watchGracePeriodMs = 200;

/** Minimum interval between two listings of the whole catalogue. */
const minimumListingIntervalMs = 200;

/** Interval between listings while the store does not return the newer revision. */
const relistIntervalMs = 1000;

function listStore(node: Node, prefix: string, at: number): Effect[] {
	const {catalogue} = node;
	const {newerRevision} = catalogue;
	const isWatchLagging = newerRevision !== undefined && newerRevision.revision > catalogue.accepted.revision && at - newerRevision.lastSeenAt <= summaryRetentionMs && at - newerRevision.listedAt >= (newerRevision.listedAt === newerRevision.firstSeenAt ? watchGracePeriodMs : relistIntervalMs);
	if (isWatchLagging) {
		catalogue.newerRevision = {...newerRevision, listedAt: at};
	}

	const isListingDue = isWatchLagging || catalogue.listingNeeded || !catalogue.listed;
	// While an outdated head waits for its correction, every listing shows the same state; the minimum interval limits the load on the store.
	if (catalogue.listing || !isListingDue || catalogue.pendingCorrection !== undefined || (catalogue.listed && at - catalogue.listingSentAt < minimumListingIntervalMs)) {
		return [];
	}

	catalogue.listing = true;
	catalogue.listingSentAt = at;
	const effects: Effect[] = catalogue.listed ? [{type: 'count', counter: 'catalogue.relisted'}] : [];
	return [...effects, {
		type: 'store-list', purpose: 'catalogue', id: 'all', prefix: buildCatalogueKeys(prefix).root,
	}];
}

function readHead(node: Node, prefix: string, at: number): Effect[] {
	const {catalogue, membership} = node;
	const sharedIntervalMs = (membership.records.size * millisecondsPerSecond) / maximumConfirmationsPerSecond;
	if (catalogue.pendingHeadSentAt !== undefined || at - catalogue.headRequestedAt < Math.max(confirmationIntervalMs, sharedIntervalMs)) {
		return [];
	}

	catalogue.headRequestedAt = at;
	catalogue.pendingHeadSentAt = at;
	return [{
		type: 'store-list', purpose: 'catalogue', id: 'head', prefix: buildCatalogueKeys(prefix).head,
	}];
}

function correctStore(node: Node, prefix: string, at: number): Effect[] {
	const {catalogue} = node;
	if (catalogue.correctionDueAt === undefined || catalogue.correctionDueAt > at || catalogue.pendingCorrection !== undefined) {
		return [];
	}

	catalogue.correctionDueAt = undefined;
	const id = `correction-${catalogue.correctionCount + 1}`;
	const differences = compareWithStore(catalogue.accepted, catalogue.view, prefix);
	const correction = buildCorrection(catalogue.accepted, catalogue.view, differences, {prefix, requestId: `${node.id}-${id}`});
	if (correction === undefined) {
		return [];
	}

	const {transaction, ...counts} = correction;
	catalogue.correctionCount += 1;
	catalogue.pendingCorrection = {id, ...counts};
	return [{
		type: 'store-transact', purpose: 'catalogue', id, transaction,
	}];
}

/**
 * Keeps the catalogue in sync with the store: lists and watches it, reads the head, corrects the store
 * and retries edits, each when it is due; after a failed call, all but the edits wait for the backoff.
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
	if (catalogue.listed && !catalogue.watching && !catalogue.listing && !catalogue.listingNeeded) {
		catalogue.watching = true;
		catalogue.watchId += 1;
		effects.push({
			type: 'store-watch', purpose: 'catalogue', id: String(catalogue.watchId), prefix: buildCatalogueKeys(prefix).root, fromRevision: catalogue.viewRevision + 1,
		});
	}

	if (catalogue.listed) {
		effects.push(...readHead(node, prefix, at));
	}

	return effects;
}
