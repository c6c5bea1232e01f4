import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type StepState, type TicketState, type Worker} from '../state/scheduler.js';
import {type TicketRequest} from './ticket-request.js';

/**
 * Tells whether a step has the tickets that its queue requires, and notes that it needs some if it has no valid ones or could
 * not be placed with those that it has.
 *
 * @param context - the reducer context; its state is changed
 * @param stepState - the step
 * @param options - workers that may get new tasks, and the requests of this round, to which one may be added
 * @returns true if the step may be placed now
 * @example
 * if (ensureTickets(context, stepState, {workers, requests})) { … }
 */
export function ensureTickets({scheduler, now}: ReducerContext, stepState: StepState, options: {workers: readonly Worker[]; requests: TicketRequest[]}): boolean {
	const {workers, requests} = options;
	const job = stepState.groups[0]?.job;
	const policy = job === undefined ? undefined : findQueuePolicy(scheduler, job);
	if (policy?.ticketRule === undefined) {
		stepState.tickets = undefined;
		return true;
	}

	stepState.tickets ??= createTicketState();
	const {tickets} = stepState;
	discardExpired(tickets, now);
	if (tickets.pendingCall === undefined && now >= tickets.requestDueAt && (tickets.granted.size === 0 || tickets.isInsufficient)) {
		requests.push({
			stepState, tickets, rule: policy.ticketRule, service: policy.service, workers,
		});
	}

	return tickets.granted.size > 0;
}

function discardExpired({granted}: TicketState, now: number): void {
	for (const [id, {validUntil}] of granted) {
		if (validUntil <= now) {
			granted.delete(id);
		}
	}
}

function createTicketState(): TicketState {
	return {
		pendingCall: undefined, requestedWorkers: [], requestDueAt: 0, isAnswered: false, fruitlessRequests: 0, isInsufficient: false, granted: new Map(), refused: new Map(),
	};
}
