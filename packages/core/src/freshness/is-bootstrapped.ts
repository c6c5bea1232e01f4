import {bootstrapTimeoutMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether a process that has just started may rely on the store alone. A store restored from an
 * older state shows an outdated head until another member restores the lost entries, so a new process first waits for a
 * message from one of the recorded members. The wait is limited, because the other members may be unreachable.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether a member has sent a message, no other is recorded, or the time limit has passed
 * @example
 * if (isBootstrapped(node, at)) confirm();
 */
export function isBootstrapped(node: Node, at: number): boolean {
	const {membership} = node;
	const {records, lastReceived, registration, startedAt} = membership;
	if (registration.prefix === undefined || at - startedAt >= bootstrapTimeoutMs || lastReceived.size > 0) {
		return true;
	}

	return membership.recordsCurrent && [...records.keys()].every(id => id === node.id);
}
