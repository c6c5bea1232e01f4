/**
 * Measures how far teams are from their weighted max-min share of a full pool, over 10 s windows in bursts.
 */
import {divideCapacity} from '@rosemaryquay/core/shares/divide-capacity';
import {checkBound} from '../check-bound.js';
import {type Baseline, type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {
	createRandom, messageFaults, createRequests, createScenario, type Random, type Request, type Stream,
} from '../scenario.js';
import {simulateSlots, type Interval} from '../simulate-slots.js';

const maximumDistance = 0.05;
const windowMs = 10_000;
const sampleMs = 50;
const burstMs = 20_000;
const gapMs = 12_000;
/** Teams with modest demand join a burst at most this long after its start, when the other teams already fill the pool. */
const latestJoinDelayMs = 8000;
/** Demand of a queue in a burst, as a multiple of its pool's capacity. */
const burstLoad = 2;
/** Demand in a burst and between bursts, relative to the mean demand of the queue. */
const burstToMeanRatio = 5;
const idleToMeanRatio = 1 / 20;
const meanRunMs = {urgent: 120, standard: 400, bulk: 6000} as const;
/** Demand of the first teams of a burst, as fractions of their weighted shares; the other teams supply the rest of the burst. */
const modestDemandFractions = [0.4, 0.7, 1];

function countSlots(user: User, pool: string): number {
	const instances = user.instances.filter(instance => instance.pool === pool).length;
	return instances * (user.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0);
}

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
	return items.map(item => ({item, key: random()})).toSorted((a, b) => a.key - b.key).map(({item}) => item);
}

/** Returns the demand of each team in a burst, as a fraction of the pool's capacity. */
function createDemand(user: User, random: Random): Map<string, {fraction: number; isModest: boolean}> {
	const teams = shuffle(Object.entries(user.catalogue.teams), random);
	const totalWeight = teams.reduce((sum, [, team]) => sum + team.share, 0);
	const demand = new Map<string, {fraction: number; isModest: boolean}>();
	let remainingLoad = burstLoad;
	let remainingWeight = totalWeight;
	for (const [index, [name, team]] of teams.entries()) {
		const modest = modestDemandFractions[index];
		const fraction = modest === undefined ? (remainingLoad * team.share) / remainingWeight : (modest * team.share) / totalWeight;
		demand.set(name, {fraction, isModest: modest !== undefined});
		remainingLoad -= fraction;
		remainingWeight -= team.share;
	}

	return demand;
}

/** Creates one burst per queue, one after the other. A team's burst arrives at a random subset of the entry instances, from one to all. */
function createStreams(user: User, random: Random): {streams: Stream[]; endMs: number} {
	const streams: Stream[] = [];
	const queues = Object.entries(user.catalogue.queues);
	const endMs = queues.length * (burstMs + gapMs);
	for (const [index, [queue, entry]] of queues.entries()) {
		const burstAtMs = index * (burstMs + gapMs);
		const meanRun = meanRunMs[entry.class];
		const capacity = countSlots(user, user.catalogue.services[entry.service]?.pool ?? '');
		for (const [team, {fraction, isModest}] of createDemand(user, random)) {
			const perSecond = (fraction * capacity * 1000) / meanRun;
			const allEntries = shuffle(Array.from({length: user.fleet.entryInstances}, (_, id) => id), random);
			const receivingEntries = allEntries.slice(0, 1 + Math.floor(random() * allEntries.length));
			const joinsAtMs = burstAtMs + (isModest ? random() * latestJoinDelayMs : 0);
			streams.push({
				queue, team, fromMs: joinsAtMs, untilMs: burstAtMs + burstMs, perSecond, meanRunMs: meanRun, entries: receivingEntries,
			});
			for (const [fromMs, untilMs] of [[0, joinsAtMs], [burstAtMs + burstMs, endMs]] as const) {
				streams.push({
					queue, team, fromMs, untilMs, perSecond: (perSecond / burstToMeanRatio) * idleToMeanRatio, meanRunMs: meanRun, entries: allEntries,
				});
			}
		}
	}

	return {streams, endMs};
}

type LoadChange = {readonly at: number; readonly pool: string; readonly team: string; readonly runningDelta: number; readonly demandDelta: number};

function listLoadChanges(requests: readonly Request[], intervals: readonly Interval[], ends: ReadonlyMap<string, number>): LoadChange[] {
	const byId = new Map(requests.map(request => [request.id, request]));
	const changes: LoadChange[] = [];
	for (const {id, at, pool, team} of requests) {
		const endedAt = ends.get(id);
		changes.push({
			at, pool, team, runningDelta: 0, demandDelta: 1,
		});
		if (endedAt !== undefined) {
			changes.push({
				at: endedAt, pool, team, runningDelta: 0, demandDelta: -1,
			});
		}
	}

	for (const {id, from, until} of intervals) {
		const {pool = '', team = ''} = byId.get(id) ?? {};
		changes.push({
			at: from, pool, team, runningDelta: 1, demandDelta: 0,
		}, {
			at: until, pool, team, runningDelta: -1, demandDelta: 0,
		});
	}

	return changes.toSorted((a, b) => a.at - b.at);
}

/** Returns for each pool the largest distance of any team from its share over any window, as a fraction of the pool's capacity. */
function measureDistance(user: User, changes: readonly LoadChange[], endMs: number): Record<string, {distance: number; team: string; at: number}> {
	const worst: Record<string, {distance: number; team: string; at: number}> = {};
	const samplesPerWindow = windowMs / sampleMs;
	for (const pool of Object.keys(user.catalogue.pools)) {
		const capacity = countSlots(user, pool);
		const teams = new Map(Object.entries(user.catalogue.teams).map(([name, team]) => [name, {
			limit: team.limits.running, weight: team.share, running: 0, demand: 0, deviations: [] as number[], windowSum: 0,
		}]));
		worst[pool] = {distance: 0, team: '', at: 0};
		const poolChanges = changes.filter(change => change.pool === pool);
		let nextIndex = 0;
		for (let at = 0; at < endMs; at += sampleMs) {
			for (let change = poolChanges[nextIndex]; change !== undefined && change.at <= at; change = poolChanges[nextIndex]) {
				const team = teams.get(change.team);
				if (team !== undefined) {
					team.running += change.runningDelta;
					team.demand += change.demandDelta;
				}

				nextIndex += 1;
			}

			const shares = divideCapacity(new Map([...teams].map(([name, {demand, limit, weight}]) => [name, {demand: Math.min(demand, limit), weight}])), capacity);
			for (const [name, team] of teams) {
				const deviation = team.running - (shares.get(name) ?? 0);
				team.deviations.push(deviation);
				team.windowSum += deviation - (team.deviations[team.deviations.length - 1 - samplesPerWindow] ?? 0);
				const distance = Math.abs(team.windowSum) / samplesPerWindow / capacity;
				if (distance > worst[pool].distance) {
					worst[pool] = {distance, team: name, at};
				}
			}
		}
	}

	return worst;
}

function largestDistance(worst: Record<string, {distance: number}>): number {
	return Math.max(...Object.values(worst).map(({distance}) => distance));
}

function runReducers(user: User, requests: readonly Request[], options: {seed: number; endMs: number}): {changes: LoadChange[]; counters: Record<string, number>} {
	const {seed, endMs} = options;
	const {simulation} = createScenario(user, requests, {seed, delivery: messageFaults});
	simulation.run(endMs);
	const started = new Map<string, {taskId: string; at: number}>();
	const intervals: Interval[] = [];
	const ends = new Map<string, number>();
	for (const entry of simulation.trace) {
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
			simulation.counters.set(name, (simulation.counters.get(name) ?? 0) + 1);
		}
	}

	for (const {taskId, at} of started.values()) {
		intervals.push({id: taskId, from: at, until: endMs});
	}

	return {changes: listLoadChanges(requests, intervals, ends), counters: Object.fromEntries(simulation.counters)};
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
			bounds.push(checkBound(measure, largestDistance(worst), {comparison: 'atMost', limit: maximumDistance, unit: 'part of the pool'}));
			for (const method of ['first come first served', 'static split'] as const) {
				const {intervals, ends} = simulateSlots(user, requests, {method});
				const value = largestDistance(measureDistance(user, listLoadChanges(requests, intervals, ends), endMs));
				baselines.push({
					name: method, measure, unit: 'part of the pool', value,
				});
			}

			details[name] = {requests: requests.length, worst, counters};
		}

		return {bounds, baselines, details};
	},
};
