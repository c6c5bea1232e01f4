import {maximumTicketCandidates} from '../state/constants.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type StepState, type Worker} from '../state/scheduler.js';

/** Time after which an unanswered request is repeated; the service that issues tickets handles one call at a time for each instance. */
const ticketTimeoutMs = 5000;

/**
 * Requests tickets for a step if its queue requires them and the step has no valid ones.
 *
 * @param context - the reducer context; its state is changed and an effect may be added
 * @param stepState - the step
 * @param workers - workers that may get new tasks
 * @returns true if the step may be placed now
 * @example
 * if (ensureTickets(context, stepState, workers)) { … }
 */
export function ensureTickets(context: ReducerContext, stepState: StepState, workers: readonly Worker[]): boolean {
	const job = stepState.groups[0]?.job;
	if (job === undefined || findQueuePolicy(context.scheduler, job).ticketRule === undefined) {
		return true;
	}

	const {tickets} = stepState;
	if (tickets?.requestPending && context.now - tickets.requestedAt < ticketTimeoutMs) {
		return false;
	}

	if (tickets !== undefined && !tickets.requestPending && tickets.validUntil > context.now) {
		return tickets.granted.size > 0;
	}

	const requirement = stepState.groups[0]?.definition.requirement ?? '';
	const candidates = workers.filter(({listing}) => requirement === '' || listing?.labels.includes(requirement)).slice(0, maximumTicketCandidates);
	stepState.tickets = {
		requestPending: true, requestedAt: context.now, validUntil: 0, granted: new Map(),
	};
	context.effects.push({
		type: 'ask-tickets', job: job.definition.id, occurrence: stepState.occurrence, step: stepState.step, workers: candidates.map(({id}) => id),
	});
	return false;
}
