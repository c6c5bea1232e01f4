import {findQueuePolicy} from '../state/find-queue-policy.js';
import {ticketRefusalMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type StepState, type TicketState, type Worker} from '../state/scheduler.js';
import {listTicketCandidates} from './list-ticket-candidates.js';

/** Time after which an unanswered request is repeated; the service that issues tickets handles one call at a time for each instance. */
const ticketTimeoutMs = 5000;

/**
 * Requests tickets for a step if its queue requires them, and the step has no valid ones or could not be placed with those
 * that it has.
 *
 * @param context - the reducer context; its state is changed and an effect may be added
 * @param stepState - the step
 * @param workers - workers that may get new tasks
 * @returns true if the step may be placed now
 * @example
 * if (ensureTickets(context, stepState, workers)) { … }
 */
export function ensureTickets(context: ReducerContext, stepState: StepState, workers: readonly Worker[]): boolean {
	const {scheduler, now} = context;
	const job = stepState.groups[0]?.job;
	if (job === undefined || findQueuePolicy(scheduler, job).ticketRule === undefined) {
		stepState.tickets = undefined;
		return true;
	}

	stepState.tickets ??= createTicketState();
	const {tickets} = stepState;
	discardExpired(tickets, now);
	const isPending = tickets.requestPending && now - tickets.requestedAt < ticketTimeoutMs;
	if (!isPending && now >= tickets.requestDueAt && (tickets.granted.size === 0 || tickets.isInsufficient)) {
		requestTickets(context, {stepState, tickets, workers});
	}

	return tickets.granted.size > 0;
}

function discardExpired({granted, refused}: TicketState, now: number): void {
	for (const [id, {validUntil}] of granted) {
		if (validUntil <= now) {
			granted.delete(id);
		}
	}

	for (const [id, {refusedAt}] of refused) {
		if (now - refusedAt >= ticketRefusalMs) {
			refused.delete(id);
		}
	}
}

function createTicketState(): TicketState {
	return {
		requestPending: false, requestedAt: 0, requestedWorkers: [], requestDueAt: 0, fruitlessRequests: 0, isInsufficient: false, granted: new Map(), refused: new Map(),
	};
}

function requestTickets(context: ReducerContext, options: {stepState: StepState; tickets: TicketState; workers: readonly Worker[]}): void {
	const {stepState, tickets} = options;
	const requestedWorkers = listTicketCandidates(context.scheduler, options).map(({id}) => id);
	if (requestedWorkers.length === 0) {
		return;
	}

	tickets.requestPending = true;
	tickets.requestedAt = context.now;
	tickets.requestedWorkers = requestedWorkers;
	tickets.isInsufficient = false;
	context.effects.push({
		type: 'ask-tickets', job: stepState.groups[0]?.job.definition.id ?? '', occurrence: stepState.occurrence, step: stepState.step, workers: requestedWorkers,
	});
}
