import {type Scheduler, type StepState} from '../state/scheduler.js';

/**
 * Gets the workers that got tickets last for the same step of other jobs of a queue, the latest at the end.
 *
 * @param scheduler - the state; an empty set is added for a step that is not known
 * @param stepState - the step
 * @returns ids of the workers
 * @example
 * getTicketHolders(scheduler, stepState).has('w1');
 */
export function getTicketHolders({ticketHolders}: Scheduler, {groups, step}: StepState): Set<string> {
	const key = `${groups[0]?.job.definition.queue ?? ''} ${step}`;
	const holders = ticketHolders.get(key) ?? new Set<string>();
	ticketHolders.set(key, holders);
	return holders;
}
