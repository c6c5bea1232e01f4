import {Heap} from 'heap-js';
import {type User} from './load-user.js';
import {type Request} from './scenario.js';

/** Time in which a request occupied a slot. */
export type Interval = {readonly id: string; readonly from: number; readonly until: number};

type Lane = {free: number; readonly running: Map<string, number>; readonly waiting: Request[]};

type Method = 'first come first served' | 'static split';

/** Index of the waiting request that a lane starts next. */
const choosers: Readonly<Record<Method, (user: User, lane: Lane) => number>> = {
	'first come first served': () => 0,
	'static split'(user, lane) {
		let best = 0;
		let lowest = Number.POSITIVE_INFINITY;
		const seen = new Set<string>();
		for (const [index, {team}] of lane.waiting.entries()) {
			const use = (lane.running.get(team) ?? 0) / (user.catalogue.teams[team]?.share ?? 1);
			if (!seen.has(team) && use < lowest) {
				best = index;
				lowest = use;
			}

			seen.add(team);
			if (seen.size === Object.keys(user.catalogue.teams).length) {
				break;
			}
		}

		return best;
	},
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
	const running = new Heap<{until: number; lane: Lane; team: string}>((a, b) => a.until - b.until);

	const findLane = ({pool, entry}: Request): Lane => {
		const key = `${pool}/${parts === 1 ? 0 : entry}`;
		let lane = lanes.get(key);
		if (lane === undefined) {
			const slots = user.instances.filter(instance => instance.pool === pool).length * (user.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0);
			lane = {free: Math.floor(slots / parts), running: new Map(), waiting: []};
			lanes.set(key, lane);
		}

		return lane;
	};

	const startWaiting = (lane: Lane, at: number): void => {
		while (lane.free > 0 && lane.waiting.length > 0) {
			const [request] = lane.waiting.splice(choosers[method](user, lane), 1);
			if (request === undefined) {
				return;
			}

			const until = at + request.runMs;
			lane.free -= 1;
			lane.running.set(request.team, (lane.running.get(request.team) ?? 0) + 1);
			intervals.push({id: request.id, from: at, until});
			ends.set(request.id, until);
			running.push({until, lane, team: request.team});
		}
	};

	const finishUntil = (at: number): void => {
		for (let next = running.peek(); next !== undefined && next.until <= at; next = running.peek()) {
			running.pop();
			next.lane.free += 1;
			next.lane.running.set(next.team, (next.lane.running.get(next.team) ?? 1) - 1);
			startWaiting(next.lane, next.until);
		}
	};

	for (const request of requests) {
		finishUntil(request.at);
		const lane = findLane(request);
		lane.waiting.push(request);
		startWaiting(lane, request.at);
	}

	finishUntil(Number.POSITIVE_INFINITY);
	return {intervals, ends};
}
