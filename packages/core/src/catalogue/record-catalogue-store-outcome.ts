import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {storeBackoffBaseMs, maximumStoreBackoffMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';

/**
 * Records whether a store call of the catalogue succeeded. After a failure the next call waits for an
 * exponential backoff with jitter, so that members do not retry at the same time.
 *
 * @param node - the node, updated in place
 * @param ok - whether the store answered
 * @param at - now, in milliseconds
 * @returns the counter of a failure, and a report when the store became available or unavailable
 * @example
 * const effects = recordCatalogueStoreOutcome(node, event.outcome.ok, event.at);
 */
export function recordCatalogueStoreOutcome(node: Node, ok: boolean, at: number): Effect[] {
	const {catalogue} = node;
	const {failures} = catalogue;
	if (ok) {
		catalogue.failures = 0;
		return failures > 0 ? [{type: 'report', report: {type: 'store-available'}}] : [];
	}

	catalogue.failures += 1;
	const range = Math.min(maximumStoreBackoffMs, storeBackoffBaseMs * (2 ** Math.min(failures, 10)));
	catalogue.retryAt = at + uniformInt(node.random, Math.floor(range / 2), range);
	const effects: Effect[] = [{type: 'count', counter: 'store.call-failed'}];
	return failures === 0 ? [...effects, {type: 'report', report: {type: 'store-unavailable'}}] : effects;
}
