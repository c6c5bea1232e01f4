import {
	maximumTicketCandidates, maximumTicketCandidatesAfterRefusal, maximumTicketDoublings, ticketRefusalMs,
} from '../state/constants.js';
import {
	type Scheduler, type StepState, type TicketState, type Worker,
} from '../state/scheduler.js';
import {getTicketHolders} from './get-ticket-holders.js';
import {hasRoomForStep} from './has-room-for-step.js';

type Candidate = {readonly worker: Worker; readonly rank: number};

type Options = {stepState: StepState; tickets: TicketState; workers: readonly Worker[]; now: number};

/**
 * Lists the workers that the next request for tickets names: those with room first, and among them those that got a ticket
 * for the same step of another job. A worker without a ticket is not named again before all others have been. Once
 * a step has tickets that do not suffice, only workers with room are named.
 *
 * @param scheduler - the state
 * @param options - the step, its tickets, workers that may get new tasks, and the local time in milliseconds
 * @returns the workers, none if there is none to ask for, and whether one of them has room
 * @example
 * listTicketCandidates(scheduler, {stepState, tickets, workers, now}).workers.map(({id}) => id);
 */
export function listTicketCandidates(scheduler: Scheduler, options: Options): {workers: Worker[]; isRoomy: boolean} {
	const {stepState, tickets, workers, now} = options;
	const holders = getTicketHolders(scheduler, stepState);
	const candidates: Candidate[] = [];
	let isRoomy = false;
	for (const worker of workers) {
		if (!mayBeAskedFor(worker, {stepState, tickets, now})) {
			continue;
		}

		const hasRoom = hasRoomForStep(worker, stepState);
		isRoomy ||= hasRoom;
		if (hasRoom || tickets.granted.size === 0) {
			candidates.push({worker, rank: (hasRoom ? 0 : 2) + (holders.has(worker.id) ? 0 : 1)});
		}
	}

	return {
		isRoomy,
		workers: candidates
			.toSorted((left, right) => left.rank - right.rank)
			.slice(0, tickets.fruitlessRequests === 0 ? maximumTicketCandidates : maximumTicketCandidatesAfterRefusal)
			.map(({worker}) => worker),
	};
}

function mayBeAskedFor({id, listing, startedAtMs}: Worker, options: {stepState: StepState; tickets: TicketState; now: number}): boolean {
	const {stepState, tickets: {granted, refused}, now} = options;
	const requirement = stepState.groups[0]?.definition.requirement ?? '';
	if (granted.get(id)?.workerStartedAtMs === startedAtMs || (requirement !== '' && !listing?.labels.includes(requirement))) {
		return false;
	}

	const refusal = refused.get(id);
	return refusal?.workerStartedAtMs !== startedAtMs || now - refusal.refusedAt >= ticketRefusalMs * (2 ** Math.min(refusal.count - 1, maximumTicketDoublings));
}
