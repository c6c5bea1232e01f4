import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {storeBackoffBaseMs, storeBackoffLimitMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';

/**
 * Records the outcome of a store call of the membership; after a failure the next call waits with jitter.
 *
 * @param node - the node, updated in place
 * @param ok - whether the store answered
 * @param at - now, in milliseconds
 * @returns the counter of a failure
 * @example
 * const effects = noteMemberOutcome(node, event.outcome.ok, event.at);
 */
export function noteMemberOutcome(node: Node, ok: boolean, at: number): Effect[] {
	const {registration} = node.membership;
	if (ok) {
		registration.failures = 0;
		return [];
	}

	const range = Math.min(storeBackoffLimitMs, storeBackoffBaseMs * (2 ** Math.min(registration.failures, 10)));
	registration.failures += 1;
	registration.retryAt = at + uniformInt(node.random, Math.floor(range / 2), range);
	return [{type: 'count', counter: 'store.call-failed'}];
}
