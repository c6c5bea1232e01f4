import {type Scheduler, type StepState, type TicketCall} from '../state/scheduler.js';

/**
 * Finds the step that a call to the service that issues tickets asks for.
 *
 * @param scheduler - the state
 * @param call - the call
 * @returns the step; undefined once its job is no longer known
 * @example
 * findTicketStep(scheduler, call)?.tickets;
 */
export function findTicketStep({jobs}: Scheduler, {job, occurrence, step}: TicketCall): StepState | undefined {
	return jobs.get(job)?.occurrences.get(occurrence)?.[step];
}
