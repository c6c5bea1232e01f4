import {loadCatalogue} from '../catalogue/load-catalogue.js';
import {confirmConfiguration} from '../freshness/confirm-configuration.js';
import {observeMembers} from '../limits/observe-members.js';
import {observeTime} from '../limits/observe-time.js';
import {receivePortions} from '../limits/receive-portions.js';
import {requestPortion} from '../limits/request-portion.js';
import {reuseSlot} from '../limits/reuse-slot.js';
import {syncPortions} from '../limits/sync-portions.js';
import {receiveMessage} from '../membership/receive-message.js';
import {recordPeers} from '../membership/record-peers.js';
import {sendSummary} from '../membership/send-summary.js';
import {recordInstances} from '../placement/record-instances.js';
import {recordUsage} from '../placement/record-usage.js';
import {admitRequest} from '../tasks/admit-request.js';
import {beginShutdown} from '../tasks/begin-shutdown.js';
import {cancelRequest} from '../tasks/cancel-request.js';
import {dispatchPool} from '../tasks/dispatch-pool.js';
import {finishAttempt} from '../tasks/finish-attempt.js';
import {tickTasks} from '../tasks/tick-tasks.js';
import {type Effect} from './effect.js';
import {type Event, type EventOf, type Purpose} from './event.js';
import {type Node} from './node.js';

type Handler<Type extends Event['type']> = (node: Node, event: EventOf<Type>) => Effect[];

/** Handlers of store answers by the part that asked. */
const transactionHandlers: Partial<Record<Purpose, Handler<'store-transacted'>>> = {
	portion: (node, event) => [...receivePortions(node, event), ...[...node.shares.pools.keys()].flatMap(pool => dispatchPool(node, pool, event.at))],
};

const listingHandlers: Partial<Record<Purpose, Handler<'store-listed'>>> = {};

/** Handlers of each event, run in order. */
const handlers: {readonly [Type in Event['type']]: ReadonlyArray<Handler<Type>>} = {
	'request-arrived': [admitRequest, requestPortion],
	'request-cancelled': [cancelRequest, reuseSlot],
	'attempt-finished': [finishAttempt, reuseSlot],
	'catalogue-loaded': [loadCatalogue],
	'configuration-confirmed': [confirmConfiguration],
	'store-transacted': [(node, event) => transactionHandlers[event.purpose]?.(node, event) ?? []],
	'store-listed': [(node, event) => listingHandlers[event.purpose]?.(node, event) ?? []],
	'instances-listed': [recordInstances],
	'usage-reported': [recordUsage],
	'members-observed': [observeMembers],
	'peers-listed': [recordPeers],
	'peer-received': [receiveMessage],
	tick: [tickTasks, syncPortions, sendSummary],
	'shutdown-requested': [beginShutdown],
};

/**
 * Applies one event to a node. The node is updated in place: a copy of a table of 17,000 workers
 * for each admission would cost more than the admission.
 *
 * @param node - the node, owned by the reducer
 * @param event - what happened; `at` never decreases from one event to the next
 * @returns what the host has to do, in order
 * @example
 * for (const effect of reduce(node, event)) perform(effect);
 */
export function reduce(node: Node, event: Event): Effect[] {
	observeTime(node, event.at);
	const effects: Effect[] = [];
	for (const handler of handlers[event.type] as ReadonlyArray<Handler<Event['type']>>) {
		for (const effect of handler(node, event)) {
			effects.push(effect);
		}
	}

	return effects;
}
