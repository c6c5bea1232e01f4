/**
 * Distance of teams from their weighted max-min share of a full pool, over 10 s windows in bursts.
 */
import {divideCapacity} from '@rosemaryquay/core/shares/divide-capacity';
import {checkBound} from '../check-bound.js';
import {type Baseline, type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {
	createRandom, messageFaults, createRequests, createScenario, type Random, type Request, type Stream,
} from '../scenario.js';
import {runSlots, type Interval} from '../run-slots.js';

const target = 0.05;
const windowMs = 10_000;
const sampleMs = 50;
const burstMs = 20_000;
const gapMs = 12_000;
/** Teams with modest demand join a burst up to this time after its start, when the others fill the pool. */
const latestJoinMs = 8000;
/** A queue requests five times its mean in a burst, which is this part of its pool's capacity. */
const burstLoad = 2;
const burstFactor = 5;
const idleFactor = 1 / 20;
const meanRunMs = {urgent: 120, standard: 400, bulk: 6000} as const;
/** Demand of the first teams of a burst in parts of their share by weight; the others make up the burst. */
const modestDemands = [0.4, 0.7, 1];

function slotsOf(user: User, pool: string): number {
	const instances = user.instances.filter(instance => instance.pool === pool).length;
	return instances * (user.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0);
}

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
	return items.map(item => ({item, key: random()})).toSorted((a, b) => a.key - b.key).map(({item}) => item);
}

/** Demand of each team in a burst, in parts of the pool's capacity. */
function createDemand(user: User, random: Random): Map<string, {part: number; isModest: boolean}> {
	const teams = shuffle(Object.entries(user.catalogue.teams), random);
	const weights = teams.reduce((sum, [, team]) => sum + team.share, 0);
	const demand = new Map<string, {part: number; isModest: boolean}>();
	let left = burstLoad;
	let weightLeft = weights;
	for (const [index, [name, team]] of teams.entries()) {
		const modest = modestDemands[index];
		const part = modest === undefined ? (left * team.share) / weightLeft : (modest * team.share) / weights;
		demand.set(name, {part, isModest: modest !== undefined});
		left -= part;
		weightLeft -= team.share;
	}

	return demand;
}

/** Every queue bursts in turn. A team's burst reaches between one and all of the entry instances. */
function createStreams(user: User, random: Random): {streams: Stream[]; endMs: number} {
	const streams: Stream[] = [];
	const queues = Object.entries(user.catalogue.queues);
	const endMs = queues.length * (burstMs + gapMs);
	for (const [index, [queue, entry]] of queues.entries()) {
		const burstAt = index * (burstMs + gapMs);
		const meanRun = meanRunMs[entry.class];
		const capacity = slotsOf(user, user.catalogue.services[entry.service]?.pool ?? '');
		for (const [team, {part, isModest}] of createDemand(user, random)) {
			const perSecond = (part * capacity * 1000) / meanRun;
			const all = shuffle(Array.from({length: user.fleet.entryInstances}, (_, id) => id), random);
			const reached = all.slice(0, 1 + Math.floor(random() * all.length));
			const joinsAt = burstAt + (isModest ? random() * latestJoinMs : 0);
			streams.push({
				queue, team, fromMs: joinsAt, untilMs: burstAt + burstMs, perSecond, meanRunMs: meanRun, entries: reached,
			});
			for (const [fromMs, untilMs] of [[0, joinsAt], [burstAt + burstMs, endMs]] as const) {
				streams.push({
					queue, team, fromMs, untilMs, perSecond: (perSecond / burstFactor) * idleFactor, meanRunMs: meanRun, entries: all,
				});
			}
		}
	}

	return {streams, endMs};
}

type Change = {readonly at: number; readonly pool: string; readonly team: string; readonly running: number; readonly demand: number};

function listChanges(requests: readonly Request[], intervals: readonly Interval[], ends: ReadonlyMap<string, number>): Change[] {
	const byId = new Map(requests.map(request => [request.id, request]));
	const changes: Change[] = [];
	for (const {id, at, pool, team} of requests) {
		const endedAt = ends.get(id);
		changes.push({
			at, pool, team, running: 0, demand: 1,
		});
		if (endedAt !== undefined) {
			changes.push({
				at: endedAt, pool, team, running: 0, demand: -1,
			});
		}
	}

	for (const {id, from, until} of intervals) {
		const {pool = '', team = ''} = byId.get(id) ?? {};
		changes.push({
			at: from, pool, team, running: 1, demand: 0,
		}, {
			at: until, pool, team, running: -1, demand: 0,
		});
	}

	return changes.toSorted((a, b) => a.at - b.at);
}

/** Largest distance of any team from its share over any window, in parts of the pool's capacity. */
function measureDistance(user: User, changes: readonly Change[], endMs: number): Record<string, {distance: number; team: string; at: number}> {
	const worst: Record<string, {distance: number; team: string; at: number}> = {};
	const samplesPerWindow = windowMs / sampleMs;
	for (const pool of Object.keys(user.catalogue.pools)) {
		const capacity = slotsOf(user, pool);
		const teams = new Map(Object.entries(user.catalogue.teams).map(([name, team]) => [name, {
			limit: team.limits.running, weight: team.share, running: 0, demand: 0, excess: [] as number[], sum: 0,
		}]));
		worst[pool] = {distance: 0, team: '', at: 0};
		const own = changes.filter(change => change.pool === pool);
		let next = 0;
		for (let at = 0; at < endMs; at += sampleMs) {
			for (let change = own[next]; change !== undefined && change.at <= at; change = own[next]) {
				const team = teams.get(change.team);
				if (team !== undefined) {
					team.running += change.running;
					team.demand += change.demand;
				}

				next += 1;
			}

			const shares = divideCapacity(new Map([...teams].map(([name, {demand, limit, weight}]) => [name, {demand: Math.min(demand, limit), weight}])), capacity);
			for (const [name, team] of teams) {
				const excess = team.running - (shares.get(name) ?? 0);
				team.excess.push(excess);
				team.sum += excess - (team.excess[team.excess.length - 1 - samplesPerWindow] ?? 0);
				const distance = Math.abs(team.sum) / samplesPerWindow / capacity;
				if (distance > worst[pool].distance) {
					worst[pool] = {distance, team: name, at};
				}
			}
		}
	}

	return worst;
}

function largest(worst: Record<string, {distance: number}>): number {
	return Math.max(...Object.values(worst).map(({distance}) => distance));
}

function runReducers(user: User, requests: readonly Request[], options: {seed: number; endMs: number}): {changes: Change[]; counters: Record<string, number>} {
	const {seed, endMs} = options;
	const {pump} = createScenario(user, requests, {seed, delivery: messageFaults});
	pump.run(endMs);
	const started = new Map<string, {taskId: string; at: number}>();
	const intervals: Interval[] = [];
	const ends = new Map<string, number>();
	for (const entry of pump.trace) {
		if (entry.type === 'started') {
			started.set(entry.attemptId, entry);
		} else if (entry.type === 'ended') {
			intervals.push({id: entry.taskId, from: started.get(entry.attemptId)?.at ?? entry.at, until: entry.at});
			started.delete(entry.attemptId);
		} else {
			ends.set(entry.taskId, entry.at);
		}

		if (entry.type === 'refused') {
			const name = `refusal.${entry.refusal.reason}`;
			pump.counters.set(name, (pump.counters.get(name) ?? 0) + 1);
		}
	}

	for (const {taskId, at} of started.values()) {
		intervals.push({id: taskId, from: at, until: endMs});
	}

	return {changes: listChanges(requests, intervals, ends), counters: Object.fromEntries(pump.counters)};
}

export const fairShare: Experiment = {
	summary: 'Largest distance of a team from its weighted max-min share of a full pool, over 10 s windows in bursts',
	run({seed}) {
		const bounds: Bound[] = [];
		const baselines: Baseline[] = [];
		const details: Record<string, unknown> = {};
		for (const name of listUsers()) {
			const user = loadUser(name);
			const random = createRandom(seed);
			const {streams, endMs} = createStreams(user, random);
			const requests = createRequests(user, streams, random);
			const measure = `largest distance from the share, ${name}`;
			const {changes, counters} = runReducers(user, requests, {seed, endMs});
			const worst = measureDistance(user, changes, endMs);
			bounds.push(checkBound(measure, largest(worst), {comparison: 'atMost', limit: target, unit: 'part of the pool'}));
			for (const method of ['first come first served', 'static split'] as const) {
				const {intervals, ends} = runSlots(user, requests, {method});
				const value = largest(measureDistance(user, listChanges(requests, intervals, ends), endMs));
				baselines.push({
					name: method, measure, unit: 'part of the pool', value,
				});
			}

			details[name] = {requests: requests.length, worst, counters};
		}

		return {bounds, baselines, details};
	},
};
