import {type CatalogueState} from './catalogue-state.js';

/**
 * Creates the state of a catalogue that has not been read.
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
		listWanted: false,
		listSentAt: 0,
		watching: false,
		watchId: 0,
		headAskedAt: Number.NEGATIVE_INFINITY,
		headPendingAt: undefined,
		failures: 0,
		retryAt: 0,
		correctAt: undefined,
		correcting: undefined,
		corrections: 0,
		invalidRevision: 0,
		higher: undefined,
		edits: new Map(),
	};
}
