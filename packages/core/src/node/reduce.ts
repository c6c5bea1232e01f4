import {editCatalogue} from '../catalogue/edit-catalogue.js';
import {finishCatalogueTransaction} from '../catalogue/finish-catalogue-transaction.js';
import {loadCatalogue} from '../catalogue/load-catalogue.js';
import {receiveCatalogueListing} from '../catalogue/receive-catalogue-listing.js';
import {receiveCatalogueChanges} from '../catalogue/receive-catalogue-changes.js';
import {startCatalogue} from '../catalogue/start-catalogue.js';
import {tickCatalogue} from '../catalogue/tick-catalogue.js';
import {resolveClaims} from '../deduplication/resolve-claims.js';
import {tickClaims} from '../deduplication/tick-claims.js';
import {confirmConfiguration} from '../freshness/confirm-configuration.js';
import {finishRegistration} from '../membership/finish-registration.js';
import {receiveLease} from '../membership/receive-lease.js';
import {receiveMemberListing} from '../membership/receive-member-listing.js';
import {receiveMemberChanges} from '../membership/receive-member-changes.js';
import {updateLivenessFromMembership} from '../limits/update-liveness-from-membership.js';
import {updateLiveness} from '../limits/update-liveness.js';
import {advanceClock} from '../limits/advance-clock.js';
import {receivePortions} from '../limits/receive-portions.js';
import {requestPortion} from '../limits/request-portion.js';
import {dispatchReleasedSlot} from '../limits/dispatch-released-slot.js';
import {syncPortions} from '../limits/sync-portions.js';
import {receiveMessage} from '../membership/receive-message.js';
import {recordNeighbours} from '../membership/record-neighbours.js';
import {sendSummary} from '../membership/send-summary.js';
import {startMembership} from '../membership/start-membership.js';
import {tickMembership} from '../membership/tick-membership.js';
import {recordInstances} from '../placement/record-instances.js';
import {updateSubsetsForMembers} from '../placement/update-subsets-for-members.js';
import {recordUsage} from '../placement/record-usage.js';
import {preemptBulk} from '../shares/preempt-bulk.js';
import {enqueueDueRetries} from '../retries/enqueue-due-retries.js';
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

/** Handlers of store answers, by the part of the node that made the call. */
const transactionHandlers: Partial<Record<Purpose, Handler<'store-transacted'>>> = {
	catalogue: finishCatalogueTransaction,
	member: finishRegistration,
	claim: resolveClaims,
	portion: (node, event) => [...receivePortions(node, event), ...[...node.shares.pools.keys()].flatMap(pool => dispatchPool(node, pool, event.at))],
};

const listingHandlers: Partial<Record<Purpose, Handler<'store-listed'>>> = {
	catalogue: receiveCatalogueListing,
	member: receiveMemberListing,
};

const watchHandlers: Partial<Record<Purpose, Handler<'store-watched'>>> = {
	catalogue: receiveCatalogueChanges,
	member: receiveMemberChanges,
};

const leaseHandlers: Partial<Record<Purpose, Handler<'store-leased'>>> = {
	member: receiveLease,
};

/** Updates the subset of workers that the node uses, which depends on the members. */
function refreshWorkerSubsets(node: Node, event: EventOf<'store-listed' | 'store-watched'>): Effect[] {
	return event.purpose === 'member' ? updateSubsetsForMembers(node, {members: [...node.membership.records.keys()]}) : [];
}

/** Handlers of each event type, run in order. */
const handlers: {readonly [Type in Event['type']]: ReadonlyArray<Handler<Type>>} = {
	'request-arrived': [admitRequest, requestPortion],
	'request-cancelled': [cancelRequest, dispatchReleasedSlot],
	'attempt-finished': [finishAttempt, dispatchReleasedSlot],
	'catalogue-loaded': [loadCatalogue],
	'configuration-confirmed': [confirmConfiguration],
	'store-transacted': [(node, event) => transactionHandlers[event.purpose]?.(node, event) ?? []],
	'store-listed': [(node, event) => listingHandlers[event.purpose]?.(node, event) ?? [], refreshWorkerSubsets],
	'store-watched': [(node, event) => watchHandlers[event.purpose]?.(node, event) ?? [], refreshWorkerSubsets],
	'store-leased': [(node, event) => leaseHandlers[event.purpose]?.(node, event) ?? [], updateLivenessFromMembership],
	'process-started': [startCatalogue, startMembership],
	'edit-requested': [editCatalogue],
	'instances-listed': [recordInstances],
	'usage-reported': [recordUsage],
	'members-observed': [updateLiveness],
	'peers-listed': [recordNeighbours, updateSubsetsForMembers],
	'peer-received': [receiveMessage],
	tick: [tickCatalogue, tickMembership, updateLivenessFromMembership, tickClaims, enqueueDueRetries, tickTasks, preemptBulk, syncPortions, sendSummary],
	'shutdown-requested': [beginShutdown],
};

/**
 * Applies one event to a node. The node is updated in place: a copy of a table of 17,000 workers
 * for each admission would cost more than the admission.
 *
 * @param node - the node, owned by the reducer
 * @param event - the event; `at` never decreases from one event to the next
 * @returns the effects that the host has to perform, in order
 * @example
 * for (const effect of reduce(node, event)) perform(effect);
 */
export function reduce(node: Node, event: Event): Effect[] {
	advanceClock(node, event.at);
	const effects: Effect[] = [];
	for (const handler of handlers[event.type] as ReadonlyArray<Handler<Event['type']>>) {
		for (const effect of handler(node, event)) {
			effects.push(effect);
		}
	}

	return effects;
}
