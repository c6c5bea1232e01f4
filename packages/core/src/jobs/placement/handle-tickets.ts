import {
	maximumTicketDoublings, maximumTicketHolders, ticketLatencyMs, ticketRetryMs,
} from '../state/constants.js';
import {type TicketAnswer} from '../state/event.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {
	type Scheduler, type StepState, type TicketCall, type TicketState,
} from '../state/scheduler.js';
import {findTicketStep} from './find-ticket-step.js';
import {getTicketHolders} from './get-ticket-holders.js';

/** Fraction of their validity for which tickets are used, so that a start order arrives before they expire. */
const usableTicketFraction = 0.8;

/** Part of the last measurement in the time that calls are expected to take once they have become faster. */
const recoveryFraction = 0.5;

type Decision = Extract<TicketAnswer, {outcome: 'decided'}>;

type Handlers = {[Outcome in TicketAnswer['outcome']]: (context: ReducerContext, call: TicketCall, answer: Extract<TicketAnswer, {outcome: Outcome}>) => void};

const handlers: Handlers = {
	decided({scheduler, now}, call, answer) {
		const issuedAt = estimateIssueTime(scheduler, call, now);
		recordDecision(scheduler, call, now);
		const stepState = findTicketStep(scheduler, call);
		if (stepState?.tickets !== undefined) {
			recordTickets(scheduler, {
				stepState, tickets: stepState.tickets, call, answer, issuedAt, now,
			});
		}
	},
	refused({scheduler, now}, call) {
		const {ticketService} = scheduler;
		ticketService.callDueAt = now + (ticketRetryMs * (2 ** Math.min(ticketService.refusedCalls, maximumTicketDoublings)));
		ticketService.refusedCalls++;
		delayRequest(scheduler, call, now);
	},
	unanswered({scheduler, now}, call) {
		if (!call.isOverdue) {
			scheduler.ticketService.overdueCalls++;
			delayRequest(scheduler, call, now);
		}
	},
};

/**
 * Processes the answer to a request for the tickets of a step.
 *
 * @param context - the reducer context; its state is changed
 * @param event - the number of the call, and its answer
 * @example
 * handleTickets(context, {call: 1, answer: {outcome: 'decided', tickets: [], validMs: 3000}});
 */
export function handleTickets(context: ReducerContext, {call: number, answer}: {call: number; answer: TicketAnswer}): void {
	const {scheduler} = context;
	const call = scheduler.ticketService.calls.find(candidate => candidate.number === number);
	if (call === undefined) {
		return;
	}

	scheduler.ticketService.calls.splice(scheduler.ticketService.calls.indexOf(call), 1);
	const handler = handlers[answer.outcome] as (context: ReducerContext, call: TicketCall, answer: TicketAnswer) => void;
	handler(context, call, answer);
	const tickets = findTicketStep(scheduler, call)?.tickets;
	if (tickets?.pendingCall === number) {
		tickets.pendingCall = undefined;
	}
}

/** Lets other steps be asked for before the one whose call has failed. */
function delayRequest(scheduler: Scheduler, call: TicketCall, now: number): void {
	const tickets = findTicketStep(scheduler, call)?.tickets;
	if (tickets !== undefined) {
		tickets.requestDueAt = now + ticketRetryMs;
	}
}

/**
 * Estimates when the service has decided: not before it had answered the previous call and taken its usual time for this
 * one. An answer that was held up on its way brings tickets that are older.
 */
function estimateIssueTime({ticketService: {answeredAt, slowness}}: Scheduler, {sentAt, costMs, isHandled}: TicketCall, now: number): number {
	const begunAt = isHandled ? sentAt : Math.max(sentAt, answeredAt);
	return Math.min(now, begunAt + (costMs * slowness));
}

/** Records how long the service took. It handles calls in turn, so those that were sent before this one do not wait there any more. */
function recordDecision({ticketService}: Scheduler, call: TicketCall, now: number): void {
	// An answer that a later one has overtaken was held up on its way, and not by the service.
	if (!call.isHandled) {
		const measured = Math.max(1, (now - call.sentAt) / call.queuedCostMs);
		ticketService.slowness = Math.max(measured, ticketService.slowness + ((measured - ticketService.slowness) * recoveryFraction));
	}

	ticketService.answeredAt = now;
	ticketService.overdueCalls = 0;
	ticketService.refusedCalls = 0;
	for (const earlier of ticketService.calls) {
		if (earlier.number < call.number) {
			earlier.isHandled = true;
			earlier.overdueAt = Math.min(earlier.overdueAt, now + ticketLatencyMs);
		}
	}
}

function recordTickets(scheduler: Scheduler, options: {stepState: StepState; tickets: TicketState; call: TicketCall; answer: Decision; issuedAt: number; now: number}): void {
	const {stepState, tickets, call, answer, issuedAt, now} = options;
	const holders = getTicketHolders(scheduler, stepState);
	tickets.isAnswered = true;
	tickets.fruitlessRequests = answer.tickets.length === 0 ? tickets.fruitlessRequests + 1 : 0;
	const grantedIds = new Set(answer.tickets.map(({worker}) => worker));
	for (const id of call.workers) {
		holders.delete(id);
		if (!grantedIds.has(id)) {
			const workerStartedAtMs = scheduler.workers.get(id)?.startedAtMs ?? 0;
			const refusal = tickets.refused.get(id);
			tickets.refused.set(id, {workerStartedAtMs, refusedAt: now, count: (refusal?.workerStartedAtMs === workerStartedAtMs ? refusal.count : 0) + 1});
		}
	}

	const validUntil = issuedAt + (answer.validMs * usableTicketFraction);
	for (const {worker, value} of answer.tickets) {
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
