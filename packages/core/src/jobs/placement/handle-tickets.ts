import {maximumTicketHolders, ticketRetryMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {getTicketHolders} from './get-ticket-holders.js';

/** Fraction of their validity for which tickets are used, so that a start order arrives before they expire. */
const usableTicketFraction = 0.8;

type Answer = {
	job: string;
	occurrence: number;
	step: number;
	tickets: ReadonlyArray<{readonly worker: string; readonly value: string}>;
	validMs: number;
};

/**
 * Processes the tickets granted for a step.
 *
 * @param context - the reducer context; its state is changed
 * @param answer - the step, its tickets by worker, and the time in milliseconds for which they are valid
 * @example
 * handleTickets(context, {job: 'a', occurrence: 0, step: 0, tickets: [], validMs: 3000});
 */
export function handleTickets(context: ReducerContext, answer: Answer): void {
	const {scheduler, now} = context;
	const {job, occurrence, step, tickets: issued, validMs} = answer;
	const stepState = scheduler.jobs.get(job)?.occurrences.get(occurrence)?.[step];
	if (stepState?.tickets === undefined) {
		return;
	}

	const {tickets} = stepState;
	tickets.requestPending = false;
	if (issued.length === 0 && validMs === 0) {
		// The service has not answered, so that nothing is known about the workers.
		tickets.requestDueAt = now + ticketRetryMs;
		return;
	}

	const holders = getTicketHolders(scheduler, stepState);
	tickets.fruitlessRequests = issued.length === 0 ? tickets.fruitlessRequests + 1 : 0;
	for (const id of tickets.requestedWorkers) {
		holders.delete(id);
		tickets.refused.set(id, {workerStartedAtMs: scheduler.workers.get(id)?.startedAtMs ?? 0, refusedAt: now});
	}

	const validUntil = tickets.requestedAt + (validMs * usableTicketFraction);
	for (const {worker, value} of issued) {
		tickets.refused.delete(worker);
		tickets.granted.set(worker, {value, workerStartedAtMs: scheduler.workers.get(worker)?.startedAtMs ?? 0, validUntil});
		holders.add(worker);
	}

	for (const oldest of holders) {
		if (holders.size <= maximumTicketHolders) {
			break;
		}

		holders.delete(oldest);
	}
}
