import {introductionLimitMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether a process that has just started may rely on the store alone. A store restored from
 * an older state shows an old head until another member writes the lost entries back, so that a new process first hears
 * from one of the recorded members. It waits for a limited time, because peers may be out of reach.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether a member was heard, no other is recorded, or the time is over
 * @example
 * if (isIntroduced(node, at)) confirm();
 */
export function isIntroduced(node: Node, at: number): boolean {
	const {membership} = node;
	const {records, received, registration, startedAt} = membership;
	if (registration.prefix === undefined || at - startedAt >= introductionLimitMs || received.size > 0) {
		return true;
	}

	return membership.listed && [...records.keys()].every(id => id === node.id);
}
