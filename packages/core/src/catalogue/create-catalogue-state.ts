import {type CatalogueState} from './catalogue-state.js';

/**
 * Creates the state of a catalogue before its first listing.
 *
 * @returns the state
 * @example
 * const state = createCatalogueState();
 */
export function createCatalogueState(): CatalogueState {
	return {
		prefix: undefined,
		accepted: {revision: 0, entries: new Map()},
		view: new Map(),
		viewRevision: 0,
		listed: false,
		listing: false,
		listingNeeded: false,
		listingSentAt: 0,
		watching: false,
		watchId: 0,
		headRequestedAt: Number.NEGATIVE_INFINITY,
		pendingHeadSentAt: undefined,
		failures: 0,
		retryAt: 0,
		correctionDueAt: undefined,
		pendingCorrection: undefined,
		correctionCount: 0,
		invalidRevision: 0,
		newerRevision: undefined,
		edits: new Map(),
	};
}
