import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {storeBackoffBaseMs, maximumStoreBackoffMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';

/**
 * Records whether a store call of the membership succeeded. After a failure the next call waits for an
 * exponential backoff with jitter.
 *
 * @param node - the node, updated in place
 * @param ok - whether the store answered
 * @param at - now, in milliseconds
 * @returns the counter of a failure
 * @example
 * const effects = recordMemberStoreOutcome(node, event.outcome.ok, event.at);
 */
export function recordMemberStoreOutcome(node: Node, ok: boolean, at: number): Effect[] {
	const {registration} = node.membership;
	if (ok) {
		registration.failures = 0;
		return [];
	}

	const range = Math.min(maximumStoreBackoffMs, storeBackoffBaseMs * (2 ** Math.min(registration.failures, 10)));
	registration.failures += 1;
	registration.retryAt = at + uniformInt(node.random, Math.floor(range / 2), range);
	return [{type: 'count', counter: 'store.call-failed'}];
}
