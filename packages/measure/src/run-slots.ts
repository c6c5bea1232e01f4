import {Heap} from 'heap-js';
import {type User} from './load-user.js';
import {type Request} from './scenario.js';

/** Time in which a request occupied a slot. */
export type Interval = {readonly id: string; readonly from: number; readonly until: number};

/** Requests of one team in a lane; those from `head` on wait. */
type Line = {readonly requests: Request[]; head: number; running: number};

type Lane = {free: number; readonly lines: Map<string, Line>};

type Method = 'first come first served' | 'static split';

/** Rank of a team's first waiting request; the lowest starts next. */
const ranks: Readonly<Record<Method, (request: Request, line: Line, weight: number) => number>> = {
	'first come first served': request => request.at,
	'static split': (_request, line, weight) => line.running / weight,
};

/**
 * Runs requests in the slots of their pools by a simple method, as a baseline. `first come first
 * served` has one queue for each pool; `static split` gives each entry instance an even part of the
 * slots, shared out by the teams' weights inside the instance.
 *
 * @param user - the user
 * @param requests - the requests in order of arrival
 * @param options - the method
 * @returns when requests ran, and the end of each by its identifier
 * @example
 * const {intervals} = runSlots(user, requests, {method: 'static split'});
 */
export function runSlots(user: User, requests: readonly Request[], options: {method: Method}): {intervals: Interval[]; ends: Map<string, number>} {
	const {method} = options;
	const parts = method === 'static split' ? user.fleet.entryInstances : 1;
	const lanes = new Map<string, Lane>();
	const intervals: Interval[] = [];
	const ends = new Map<string, number>();
	const running = new Heap<{until: number; lane: Lane; line: Line}>((a, b) => a.until - b.until);

	const findLane = ({pool, entry}: Request): Lane => {
		const key = `${pool}/${parts === 1 ? 0 : entry}`;
		let lane = lanes.get(key);
		if (lane === undefined) {
			const slots = user.instances.filter(instance => instance.pool === pool).length * (user.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0);
			lane = {free: Math.floor(slots / parts), lines: new Map()};
			lanes.set(key, lane);
		}

		return lane;
	};

	const chooseLine = (lane: Lane): Line | undefined => {
		let best: Line | undefined;
		let lowest = Number.POSITIVE_INFINITY;
		for (const [team, line] of lane.lines) {
			const first = line.requests[line.head];
			const rank = first === undefined ? Number.POSITIVE_INFINITY : ranks[method](first, line, user.catalogue.teams[team]?.share ?? 1);
			if (rank < lowest) {
				best = line;
				lowest = rank;
			}
		}

		return best;
	};

	const startWaiting = (lane: Lane, at: number): void => {
		while (lane.free > 0) {
			const line = chooseLine(lane);
			const request = line?.requests[line.head];
			if (line === undefined || request === undefined) {
				return;
			}

			const until = at + request.runMs;
			lane.free -= 1;
			line.head += 1;
			line.running += 1;
			intervals.push({id: request.id, from: at, until});
			ends.set(request.id, until);
			running.push({until, lane, line});
		}
	};

	const finishUntil = (at: number): void => {
		for (let next = running.peek(); next !== undefined && next.until <= at; next = running.peek()) {
			running.pop();
			next.lane.free += 1;
			next.line.running -= 1;
			startWaiting(next.lane, next.until);
		}
	};

	for (const request of requests) {
		finishUntil(request.at);
		const lane = findLane(request);
		const line = lane.lines.get(request.team) ?? {requests: [], head: 0, running: 0};
		line.requests.push(request);
		lane.lines.set(request.team, line);
		startWaiting(lane, request.at);
	}

	finishUntil(Number.POSITIVE_INFINITY);
	return {intervals, ends};
}
