import {storeBackoffBaseMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {type PendingEdit} from './catalogue-state.js';
import {resolveEditOutcome} from './resolve-edit-outcome.js';
import {recordCatalogueStoreOutcome} from './record-catalogue-store-outcome.js';
import {refreshCatalogue} from './refresh-catalogue.js';
import {answerEdit} from './answer-edit.js';
import {tickCatalogue} from './tick-catalogue.js';

/** Adds the entries that a successful edit wrote to the view, without waiting for the watch. */
function recordWrites(node: Node, pending: PendingEdit, modRevision: number): void {
	for (const operation of pending.transaction?.success ?? []) {
		if (operation.type === 'put' && modRevision > (node.catalogue.view.get(operation.key)?.modRevision ?? 0)) {
			node.catalogue.view.set(operation.key, {key: operation.key, value: operation.value, modRevision});
		}
	}
}

function finishEdit(node: Node, pending: PendingEdit, event: EventOf<'store-transacted'>): Effect[] {
	const {outcome, at} = event;
	const {edit} = pending;
	pending.inFlight = false;
	const decision = resolveEditOutcome(edit, pending.revision, outcome);
	if (decision.type === 'unknown') {
		pending.mayBeStored = true;
		return [];
	}

	if (decision.type === 'not-written') {
		return [];
	}

	if (decision.type === 'outdated') {
		// Another edit was stored first; this one is validated again against a new listing.
		pending.transaction = undefined;
		pending.mayBeStored = false;
		pending.retryAt = at + storeBackoffBaseMs;
		node.catalogue.listingNeeded = true;
		return tickCatalogue(node, {at});
	}

	const effects: Effect[] = [];
	if (outcome.ok && outcome.value.succeeded) {
		recordWrites(node, pending, outcome.value.revision);
		effects.push(...refreshCatalogue(node, at));
	} else {
		node.catalogue.listingNeeded = true;
	}

	return [...effects, ...answerEdit(node, edit.requestId, {type: 'accepted', revision: decision.revision})];
}

function finishCorrection(node: Node, event: EventOf<'store-transacted'>): Effect[] {
	const {catalogue} = node;
	const {outcome} = event;
	const {pendingCorrection} = catalogue;
	if (pendingCorrection?.id !== event.id) {
		return [];
	}

	catalogue.pendingCorrection = undefined;
	// The next listing shows what is left to correct, whatever the outcome.
	catalogue.listingNeeded = true;
	if (!outcome.ok || !outcome.value.succeeded) {
		return [];
	}

	const {adopted, rejected, restored} = pendingCorrection;
	return [{type: 'count', counter: 'catalogue.corrected'}, {
		type: 'report', report: {
			type: 'catalogue-corrected', adopted, rejected, restored,
		},
	}];
}

/**
 * Handles the answer to an edit or to a correction of the store.
 *
 * @param node - the node, updated in place
 * @param event - the answer
 * @returns the answer to the operator, log reports, and the next store calls
 * @example
 * finishCatalogueTransaction(node, {type: 'store-transacted', at: 5, purpose: 'catalogue', id: 'edit-e-1', outcome});
 */
export function finishCatalogueTransaction(node: Node, event: EventOf<'store-transacted'>): Effect[] {
	const effects = recordCatalogueStoreOutcome(node, event.outcome.ok, event.at);
	const pending = event.id.startsWith('edit-') ? node.catalogue.edits.get(event.id.slice('edit-'.length)) : undefined;
	effects.push(...(pending === undefined ? finishCorrection(node, event) : finishEdit(node, pending, event)), ...tickCatalogue(node, event));
	return effects;
}
