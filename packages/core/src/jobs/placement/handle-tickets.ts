import {type ReducerContext} from '../state/reducer-context.js';

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
	const {job, occurrence, step, tickets, validMs} = answer;
	const stepState = context.scheduler.jobs.get(job)?.occurrences.get(occurrence)?.[step];
	if (stepState?.tickets === undefined) {
		return;
	}

	stepState.tickets.requestPending = false;
	stepState.tickets.validUntil = stepState.tickets.requestedAt + (validMs * usableTicketFraction);
	stepState.tickets.granted.clear();
	for (const {worker, value} of tickets) {
		stepState.tickets.granted.set(worker, {value, workerStartedAtMs: context.scheduler.workers.get(worker)?.startedAtMs ?? 0});
	}
}
