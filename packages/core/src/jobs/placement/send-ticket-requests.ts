import {maximumPlacementFailures, maximumTicketCalls} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Scheduler, type TicketCall} from '../state/scheduler.js';
import {findTicketStep} from './find-ticket-step.js';
import {isSpacious} from './is-spacious.js';
import {listTicketCandidates} from './list-ticket-candidates.js';
import {measureTicketWait} from './measure-ticket-wait.js';
import {type TicketRequest} from './ticket-request.js';

/** Shortest time for which a request is reckoned to occupy the service, in milliseconds, where the rule of its queue says less. */
const shortestCallMs = 10;

type Choice = {readonly request: TicketRequest; readonly workers: readonly string[]};

/**
 * Sends requests for tickets, as many as the service that issues them can handle next: those of steps that could be placed at
 * once first, then those of steps that wait for room and have never been asked for. The service handles calls in turn, also
 * those that nobody awaits any more, so requests beyond these wait here, where their order can change.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @param requests - steps that need tickets, in the order of placement
 * @example
 * sendTicketRequests(context, requests);
 */
export function sendTicketRequests(context: ReducerContext, requests: readonly TicketRequest[]): void {
	const {scheduler, now} = context;
	const {ticketService} = scheduler;
	markOverdueCalls(scheduler, now);
	const free = maximumTicketCalls - ticketService.calls.filter(({isOverdue}) => !isOverdue).length;
	if (free <= 0 || requests.length === 0 || now < ticketService.callDueAt) {
		return;
	}

	// A step with a suspected task is asked for by the placement in isolation and by the ordinary one.
	const distinct = new Map(requests.map(request => [request.stepState, request]));
	for (const choice of chooseRequests(scheduler, {requests: [...distinct.values()], count: free, now})) {
		sendRequest(context, choice);
	}
}

function markOverdueCalls(scheduler: Scheduler, now: number): void {
	const {ticketService} = scheduler;
	for (const call of ticketService.calls.filter(({isOverdue, overdueAt}) => !isOverdue && now >= overdueAt)) {
		call.isOverdue = true;
		ticketService.overdueCalls++;
		const tickets = findTicketStep(scheduler, call)?.tickets;
		if (tickets?.pendingCall === call.number) {
			tickets.pendingCall = undefined;
		}
	}
}

function chooseRequests(scheduler: Scheduler, options: {requests: readonly TicketRequest[]; count: number; now: number}): Choice[] {
	const {requests, count, now} = options;
	const chosen: Choice[] = [];
	const early: Choice[] = [];
	const withoutRoomByService = new Map<string, number>();
	const fullServices = new Set<string>();
	for (const request of requests) {
		const {service, tickets} = request;
		if (fullServices.has(service)) {
			continue;
		}

		const {workers, isRoomy} = listTicketCandidates(scheduler, {...request, now});
		if (isRoomy) {
			chosen.push({request, workers: workers.map(({id}) => id)});
		} else {
			const withoutRoom = (withoutRoomByService.get(service) ?? 0) + 1;
			withoutRoomByService.set(service, withoutRoom);
			if (withoutRoom === maximumPlacementFailures && !isSpacious(scheduler, service)) {
				fullServices.add(service);
			}

			if (!tickets.isAnswered && workers.length > 0) {
				early.push({request, workers: workers.map(({id}) => id)});
			}
		}

		if (chosen.length === count) {
			return chosen;
		}
	}

	return [...chosen, ...early].slice(0, count);
}

function sendRequest({scheduler, now, effects}: ReducerContext, {request, workers}: Choice): void {
	const {ticketService} = scheduler;
	const {stepState, tickets, rule} = request;
	const job = stepState.groups[0]?.job.definition.id ?? '';
	const {occurrence, step} = stepState;
	ticketService.callNumber++;
	const costMs = Math.max(shortestCallMs, rule.decideMs + (rule.eachMs * workers.length));
	let queuedCostMs = costMs;
	for (const ahead of ticketService.calls) {
		queuedCostMs += ahead.isHandled ? 0 : ahead.costMs;
	}

	const call: TicketCall = {
		number: ticketService.callNumber,
		job,
		occurrence,
		step,
		workers,
		sentAt: now,
		costMs,
		queuedCostMs,
		overdueAt: now + measureTicketWait(ticketService, queuedCostMs),
		isOverdue: false,
		isHandled: false,
	};
	ticketService.calls.push(call);
	tickets.pendingCall = call.number;
	tickets.requestedWorkers = workers;
	tickets.isInsufficient = false;
	effects.push({
		type: 'ask-tickets', call: call.number, job, occurrence, step, workers,
	});
}
