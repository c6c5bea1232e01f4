import {maximumTicketCandidates} from './constants.js';
import {findQueuePolicy} from './find-queue-policy.js';
import {type ReducerContext} from './reducer-context.js';
import {type StepState, type Worker} from './scheduler.js';

/** Time after which an unanswered request is repeated; the service handles one call at a time for each instance. */
const ticketTimeoutMs = 5000;

/**
 * Requests tickets for a step if its queue requires them and the step has no valid ones.
 *
 * @param context - the reducer context; its state is changed and an effect may be added
 * @param step - the step
 * @param workers - workers that may get new tasks
 * @returns true if the step may be placed now
 * @example
 * if (ensureTickets(context, step, workers)) { … }
 */
export function ensureTickets(context: ReducerContext, step: StepState, workers: readonly Worker[]): boolean {
	const job = step.groups[0]?.job;
	if (job === undefined || findQueuePolicy(context.scheduler, job).ticketRule === undefined) {
		return true;
	}

	const {tickets} = step;
	if (tickets?.requestPending && context.now - tickets.requestedAt < ticketTimeoutMs) {
		return false;
	}

	if (tickets !== undefined && !tickets.requestPending && tickets.validUntil > context.now) {
		return tickets.granted.size > 0;
	}

	const requirement = step.groups[0]?.definition.requirement ?? '';
	const candidates = workers.filter(({listing}) => requirement === '' || listing?.labels.includes(requirement)).slice(0, maximumTicketCandidates);
	step.tickets = {
		requestPending: true, requestedAt: context.now, validUntil: 0, granted: new Map(),
	};
	context.effects.push({
		type: 'ask-tickets', job: job.job.id, occurrence: step.occurrence, step: step.step, workers: candidates.map(({id}) => id),
	});
	return false;
}
