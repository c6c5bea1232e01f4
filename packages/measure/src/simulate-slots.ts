import {Heap} from 'heap-js';
import {type User} from './load-user.js';
import {type Request} from './scenario.js';

/** Period in which a request occupied a slot. */
export type Interval = {readonly id: string; readonly from: number; readonly until: number};

/** Requests of one team for a slot group; those from index `head` on are waiting. */
type TeamQueue = {readonly requests: Request[]; head: number; running: number};

type SlotGroup = {freeSlots: number; readonly queues: Map<string, TeamQueue>};

type Method = 'first come first served' | 'static split';

/** Ranks a team's first waiting request by method; the request with the lowest rank starts next. */
const rankByMethod: Readonly<Record<Method, (request: Request, queue: TeamQueue, weight: number) => number>> = {
	'first come first served': request => request.at,
	'static split': (_request, queue, weight) => queue.running / weight,
};

/**
 * Simulates requests in the slots of their pools with a simple scheduling method, as a baseline. `first come
 * first served` has one queue for each pool. `static split` gives each entry instance an equal part of the
 * slots and schedules the teams by weight within each instance.
 *
 * @param user - the user
 * @param requests - the requests in order of arrival
 * @param options - the method
 * @returns the intervals in which requests ran, and the end of each request by its identifier, in milliseconds
 * @example
 * const {intervals} = simulateSlots(user, requests, {method: 'static split'});
 */
export function simulateSlots(user: User, requests: readonly Request[], options: {method: Method}): {intervals: Interval[]; ends: Map<string, number>} {
	const {method} = options;
	const parts = method === 'static split' ? user.fleet.entryInstances : 1;
	const slotGroups = new Map<string, SlotGroup>();
	const intervals: Interval[] = [];
	const ends = new Map<string, number>();
	const running = new Heap<{until: number; group: SlotGroup; queue: TeamQueue}>((a, b) => a.until - b.until);

	const findSlotGroup = ({pool, entry}: Request): SlotGroup => {
		const key = `${pool}/${parts === 1 ? 0 : entry}`;
		let group = slotGroups.get(key);
		if (group === undefined) {
			const slots = user.instances.filter(instance => instance.pool === pool).length * (user.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0);
			group = {freeSlots: Math.floor(slots / parts), queues: new Map()};
			slotGroups.set(key, group);
		}

		return group;
	};

	const chooseQueue = (group: SlotGroup): TeamQueue | undefined => {
		let best: TeamQueue | undefined;
		let lowest = Number.POSITIVE_INFINITY;
		for (const [team, queue] of group.queues) {
			const first = queue.requests[queue.head];
			const rank = first === undefined ? Number.POSITIVE_INFINITY : rankByMethod[method](first, queue, user.catalogue.teams[team]?.share ?? 1);
			if (rank < lowest) {
				best = queue;
				lowest = rank;
			}
		}

		return best;
	};

	const startWaitingRequests = (group: SlotGroup, at: number): void => {
		while (group.freeSlots > 0) {
			const queue = chooseQueue(group);
			const request = queue?.requests[queue.head];
			if (queue === undefined || request === undefined) {
				return;
			}

			const until = at + request.runMs;
			group.freeSlots -= 1;
			queue.head += 1;
			queue.running += 1;
			intervals.push({id: request.id, from: at, until});
			ends.set(request.id, until);
			running.push({until, group, queue});
		}
	};

	const finishUntil = (at: number): void => {
		for (let next = running.peek(); next !== undefined && next.until <= at; next = running.peek()) {
			running.pop();
			next.group.freeSlots += 1;
			next.queue.running -= 1;
			startWaitingRequests(next.group, next.until);
		}
	};

	for (const request of requests) {
		finishUntil(request.at);
		const group = findSlotGroup(request);
		const queue = group.queues.get(request.team) ?? {requests: [], head: 0, running: 0};
		queue.requests.push(request);
		group.queues.set(request.team, queue);
		startWaitingRequests(group, request.at);
	}

	finishUntil(Number.POSITIVE_INFINITY);
	return {intervals, ends};
}
