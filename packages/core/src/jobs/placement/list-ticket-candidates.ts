import {maximumTicketCandidates, maximumTicketCandidatesAfterRefusal} from '../state/constants.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {
	type Scheduler, type StepState, type TicketState, type Worker,
} from '../state/scheduler.js';
import {addResources} from './add-resources.js';
import {fitsInto} from './fits-into.js';
import {getReservedResources} from './get-reserved-resources.js';
import {getTicketHolders} from './get-ticket-holders.js';
import {satisfiesAntiAffinity} from './satisfies-anti-affinity.js';

type Candidate = {readonly worker: Worker; readonly rank: number};

/**
 * Lists the workers that the next request for tickets names: those with room first, and among them those that got a ticket
 * for the same step of another job. A worker without a ticket is not named again before all others have been. While a step
 * has tickets that do not suffice, only workers with room are named.
 *
 * @param scheduler - the state
 * @param options - the step, its tickets, and workers that may get new tasks
 * @returns the workers; empty if there is none to ask for
 * @example
 * listTicketCandidates(scheduler, {stepState, tickets, workers}).map(({id}) => id);
 */
export function listTicketCandidates(scheduler: Scheduler, options: {stepState: StepState; tickets: TicketState; workers: readonly Worker[]}): Worker[] {
	const {stepState, tickets, workers} = options;
	const holders = getTicketHolders(scheduler, stepState);
	const candidates: Candidate[] = [];
	for (const worker of workers) {
		if (!mayBeAskedFor(worker, {stepState, tickets})) {
			continue;
		}

		const isRoomy = hasRoom(worker, stepState);
		if (isRoomy || tickets.granted.size === 0) {
			candidates.push({worker, rank: (isRoomy ? 0 : 2) + (holders.has(worker.id) ? 0 : 1)});
		}
	}

	return candidates
		.toSorted((left, right) => left.rank - right.rank)
		.slice(0, tickets.fruitlessRequests === 0 ? maximumTicketCandidates : maximumTicketCandidatesAfterRefusal)
		.map(({worker}) => worker);
}

function mayBeAskedFor({id, listing, startedAtMs}: Worker, options: {stepState: StepState; tickets: TicketState}): boolean {
	const {stepState, tickets: {granted, refused}} = options;
	const requirement = stepState.groups[0]?.definition.requirement ?? '';
	if (granted.get(id)?.workerStartedAtMs === startedAtMs || (requirement !== '' && !listing?.labels.includes(requirement))) {
		return false;
	}

	return refused.get(id)?.workerStartedAtMs !== startedAtMs;
}

function hasRoom(worker: Worker, stepState: StepState): boolean {
	const group = stepState.groups.find(candidate => isUnassigned(candidate));
	return group !== undefined
		&& fitsInto(getReservedResources(group.definition), addResources(worker.listing?.capacity ?? worker.used, worker.used, -1))
		&& satisfiesAntiAffinity(group, stepState, {worker, taken: []});
}
