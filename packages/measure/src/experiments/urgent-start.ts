/**
 * Measures the time to start of urgent requests during bursts of long bulk tasks in the same pools.
 */
import {type Catalogue} from '@rosemaryquay/core/catalogue/schema';
import {checkBound} from '../check-bound.js';
import {type Baseline, type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {simulateSlots} from '../simulate-slots.js';
import {
	createRandom, createRequests, createScenario, messageFaults, type Random, type Request, type Stream,
} from '../scenario.js';

const targetMs = 1000;
const quantile = 0.999;
const endMs = 120_000;
const urgentRunMs = 120;
const bulkRunMs = 8000;
const bulkDeadlineMs = 600_000;
/** Urgent demand as fractions of the pool's capacity: the mean, and peaks of a few seconds. */
const urgentLoad = {mean: 0.1, peak: 0.4};
const bulkLoad = 1.5;
const bulkBurstMs = 15_000;
const bulkPeriodMs = 40_000;
const peakMs = 4000;
const peakPeriodMs = 13_000;

/** Adds a bulk queue to every service that has an urgent one, as not every user has both in one pool. */
function addBulkQueues(user: User): {user: User; pairs: Array<{urgent: string; bulk: string; pool: string}>} {
	const queues: Catalogue['queues'] = {...user.catalogue.queues};
	const pairs: Array<{urgent: string; bulk: string; pool: string}> = [];
	for (const [name, queue] of Object.entries(user.catalogue.queues)) {
		if (queue.class === 'urgent') {
			const bulk = `${name}-bulk`;
			queues[bulk] = {
				...queue, class: 'bulk', repeatable: false, limits: {...queue.limits, deadlineMs: bulkDeadlineMs},
			};
			pairs.push({urgent: name, bulk, pool: user.catalogue.services[queue.service]?.pool ?? ''});
		}
	}

	return {user: {...user, catalogue: {...user.catalogue, queues}}, pairs};
}

/** Picks a random subset of the entry instances, from one to all, because callers reuse their connections. */
function pickEntries(user: User, random: Random): number[] {
	const entries = Array.from({length: user.fleet.entryInstances}, (_, index) => ({index, key: random()}));
	return entries.toSorted((a, b) => a.key - b.key).slice(0, 1 + Math.floor(random() * entries.length)).map(({index}) => index);
}

function createStreams(user: User, pairs: ReadonlyArray<{urgent: string; bulk: string; pool: string}>, random: Random): Stream[] {
	const streams: Stream[] = [];
	const teams = Object.entries(user.catalogue.teams);
	const totalWeight = teams.reduce((sum, [, team]) => sum + team.share, 0);
	for (const {urgent, bulk, pool} of pairs) {
		const capacity = user.instances.filter(instance => instance.pool === pool).length * (user.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0);
		for (const [team, {share}] of teams) {
			const slots = (capacity * share) / totalWeight;
			const addStream = (queue: string, load: number, fromMs: number, durationMs: number): void => {
				const meanRunMs = queue === urgent ? urgentRunMs : bulkRunMs;
				streams.push({
					queue, team, fromMs, untilMs: Math.min(fromMs + durationMs, endMs), perSecond: (slots * load * 1000) / meanRunMs, meanRunMs, entries: pickEntries(user, random),
				});
			};

			addStream(urgent, urgentLoad.mean, 0, endMs);
			for (let at = random() * peakPeriodMs; at < endMs; at += peakPeriodMs) {
				addStream(urgent, urgentLoad.peak - urgentLoad.mean, at, peakMs);
			}

			for (let at = random() * 5000; at < endMs; at += bulkPeriodMs) {
				addStream(bulk, bulkLoad, at, bulkBurstMs);
			}
		}
	}

	return streams;
}

/** Summarises the waiting times of urgent requests. One that never started counts as waiting for the whole run. */
function summarize(requests: readonly Request[], startedAt: ReadonlyMap<string, number>): {p999: number; worst: number; urgent: number; unstarted: number; late: number} {
	const waits: number[] = [];
	let unstarted = 0;
	for (const {id, at, class: workClass} of requests) {
		if (workClass === 'urgent') {
			const started = startedAt.get(id);
			unstarted += started === undefined ? 1 : 0;
			waits.push(started === undefined ? endMs : started - at);
		}
	}

	waits.sort((a, b) => a - b);
	return {
		p999: waits[Math.ceil(waits.length * quantile) - 1] ?? 0, worst: waits.at(-1) ?? 0, urgent: waits.length, unstarted, late: waits.filter(wait => wait > targetMs).length,
	};
}

export const urgentStart: Experiment = {
	summary: 'Time to start of urgent requests under bursts of long bulk tasks',
	run({seed}) {
		const bounds: Bound[] = [];
		const baselines: Baseline[] = [];
		const details: Record<string, unknown> = {};
		for (const name of listUsers()) {
			const {user, pairs} = addBulkQueues(loadUser(name));
			const random = createRandom(seed);
			const requests = createRequests(user, createStreams(user, pairs, random), random);
			const {simulation} = createScenario(user, requests, {seed, delivery: messageFaults});
			// The run continues after the last arrivals, so that requests that arrive just before the end can start.
			simulation.run(endMs + (2 * targetMs));
			const startedAt = new Map<string, number>();
			for (const entry of simulation.trace) {
				if (entry.type === 'started' && !startedAt.has(entry.taskId)) {
					startedAt.set(entry.taskId, entry.at);
				}
			}

			const measured = summarize(requests, startedAt);
			const measure = `p99.9 start time of urgent requests, ${name}`;
			bounds.push(checkBound(measure, measured.p999, {comparison: 'atMost', limit: targetMs, unit: 'ms'}));
			const {intervals} = simulateSlots(user, requests, {method: 'first come first served'});
			const baseline = summarize(requests, new Map(intervals.map(({id, from}) => [id, from])));
			baselines.push({
				name: 'first come first served', measure, unit: 'ms', value: baseline.p999,
			});
			details[name] = {measured, counters: Object.fromEntries(simulation.counters)};
		}

		return {bounds, baselines, details};
	},
};
