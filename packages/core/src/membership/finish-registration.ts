import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {recordMemberStoreOutcome} from './record-member-store-outcome.js';

/**
 * Handles the answer to the registration. When the answer was lost, the registration is repeated and writes the same record.
 *
 * @param node - the node, updated in place
 * @param event - the answer
 * @returns the log report of the registration
 * @example
 * finishRegistration(node, {type: 'store-transacted', at: 5, purpose: 'member', id: 'register', outcome});
 */
export function finishRegistration(node: Node, event: EventOf<'store-transacted'>): Effect[] {
	const {registration} = node.membership;
	registration.pendingCallSentAt = undefined;
	const effects = recordMemberStoreOutcome(node, event.outcome.ok, event.at);
	if (!event.outcome.ok) {
		if (event.outcome.reason === 'invalid') {
			// The store rejects a record under a lease that it no longer has.
			registration.leaseId = undefined;
		}

		return effects;
	}

	registration.registered = true;
	return [{type: 'report', report: {type: 'member-registered'}}];
}
