/**
 * Starts in a withdrawn availability zone, and work done while it leaves and returns.
 */
import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {type Catalogue} from '@rosemaryquay/core/catalogue/schema';
import {checkBound} from '../check-bound.js';
import {type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {type Pump} from '../pump.js';
import {
	createRandom, createRequests, createScenario, messageFaults, type Random, type Stream,
} from '../scenario.js';

const withdrawAt = 20_000;
const restoreAt = 45_000;
const endMs = 65_000;
const graceMs = 3000;
/** Latest time at which an instance learns of a catalogue change. */
const propagationMs = 2500;
const load = 1.2;
const failedAttempts = 0.02;
const meanRunMs = {urgent: 120, standard: 400, bulk: 3000} as const;

function slotsOf(user: User, pool: string, includes: (zone: string) => boolean): number {
	const instances = user.instances.filter(instance => instance.pool === pool && includes(instance.zone)).length;
	return instances * (user.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0);
}

/** Every pool is requested beyond its capacity all the time, in even parts by its queues. */
function createStreams(user: User): Stream[] {
	const streams: Stream[] = [];
	const entries = Array.from({length: user.fleet.entryInstances}, (_, index) => index);
	const teams = Object.entries(user.catalogue.teams);
	const weights = teams.reduce((sum, [, team]) => sum + team.share, 0);
	const queues = Object.entries(user.catalogue.queues);
	for (const [queue, entry] of queues) {
		const pool = user.catalogue.services[entry.service]?.pool ?? '';
		const siblings = queues.filter(([, other]) => user.catalogue.services[other.service]?.pool === pool).length;
		const slots = (slotsOf(user, pool, () => true) * load) / siblings;
		for (const [team, {share}] of teams) {
			const meanRun = meanRunMs[entry.class];
			streams.push({
				queue, team, fromMs: 0, untilMs: endMs, perSecond: (slots * share * 1000) / (weights * meanRun), meanRunMs: meanRun, entries,
			});
		}
	}

	return streams;
}

function setWithdrawn(catalogue: Catalogue, zone: string, withdrawn: boolean): Catalogue {
	const entry = catalogue.zones[zone];
	return entry === undefined ? catalogue : {...catalogue, zones: {...catalogue.zones, [zone]: {...entry, withdrawn}}};
}

type Change = {readonly user: User; readonly names: readonly string[]; readonly zone: string; readonly random: Random};

function scheduleChange(pump: Pump, at: number, revision: number, {user, names, zone, random}: Change): void {
	const snapshot = createSnapshot(setWithdrawn(user.catalogue, zone, revision === 2), revision);
	for (const name of names) {
		pump.at(at + Math.floor(random() * propagationMs), () => {
			pump.deliver(name, {type: 'catalogue-loaded', snapshot});
		});
	}
}

function overlap(from: number, until: number, start: number, end: number): number {
	return Math.max(0, Math.min(until, end) - Math.max(from, start));
}

/** Slot time that the usable slots offer from the withdrawal until the zone has fully returned. */
function offeredMs(user: User, zone: string): {offered: number; returnedAt: number} {
	const returnMs = user.catalogue.zones[zone]?.limits.returnMs ?? 0;
	const returnedAt = Math.min(endMs, restoreAt + returnMs);
	let offered = 0;
	for (const pool of Object.keys(user.catalogue.pools)) {
		offered += slotsOf(user, pool, other => other !== zone) * (returnedAt - withdrawAt);
		// The zone's part grows evenly, so that it is half on average.
		offered += (slotsOf(user, pool, other => other === zone) * (returnedAt - restoreAt)) / 2;
	}

	return {offered, returnedAt};
}

function measureTrace(user: User, pump: Pump, zone: string): {lateStarts: number; part: number; wastedMs: number} {
	const {offered, returnedAt} = offeredMs(user, zone);
	const zoneOf = new Map(user.instances.map(instance => [instance.id, instance.zone]));
	const startedAt = new Map<string, number>();
	const saved = new Map<string, {workerId: string; ms: number}>();
	let lateStarts = 0;
	let usefulMs = 0;
	let wastedMs = 0;
	for (const entry of pump.trace) {
		if (entry.type === 'started') {
			startedAt.set(entry.attemptId, entry.at);
			const progress = saved.get(entry.taskId);
			if (progress !== undefined && progress.workerId !== entry.workerId) {
				// The task begins again, so that its saved progress was of no use.
				usefulMs -= progress.ms;
				wastedMs += progress.ms;
				saved.delete(entry.taskId);
			}

			lateStarts += zoneOf.get(entry.workerId) === zone && entry.at > withdrawAt + graceMs && entry.at < restoreAt ? 1 : 0;
		} else if (entry.type === 'ended') {
			const from = startedAt.get(entry.attemptId) ?? entry.at;
			// Work in the zone itself counts only after its return.
			const begin = zoneOf.get(entry.workerId) === zone ? restoreAt : withdrawAt;
			const ms = overlap(from, entry.at, begin, returnedAt);
			if (entry.outcome.type === 'succeeded' || entry.outcome.type === 'checkpointed') {
				usefulMs += ms;
				if (entry.outcome.type === 'checkpointed') {
					saved.set(entry.taskId, {workerId: entry.workerId, ms: ms + (saved.get(entry.taskId)?.ms ?? 0)});
				}
			} else {
				wastedMs += ms;
			}
		}
	}

	return {lateStarts, part: usefulMs / offered, wastedMs};
}

export const zoneWithdrawal: Experiment = {
	summary: 'Starts in a withdrawn availability zone, and work done while it leaves and returns',
	run({seed}) {
		const bounds: Bound[] = [];
		const details: Record<string, unknown> = {};
		for (const name of listUsers()) {
			const user = loadUser(name);
			const random = createRandom(seed);
			const requests = createRequests(user, createStreams(user), random);
			const [zone = ''] = user.fleet.zones;
			// The first try of these requests fails, so that retries are due while the zone is withdrawn.
			const failing = new Set(requests.filter(({queue}) => user.catalogue.queues[queue]?.repeatable === true && random() < failedAttempts).map(({id}) => id));
			const {pump, names} = createScenario(user, requests, {
				seed, delivery: messageFaults, outcome: ({taskId}) => failing.delete(taskId) ? {type: 'failed', status: 500} : undefined,
			});
			const change = {
				user, names, zone, random,
			};
			scheduleChange(pump, withdrawAt, 2, change);
			scheduleChange(pump, restoreAt, 3, change);
			pump.run(endMs);
			const measured = measureTrace(user, pump, zone);
			bounds.push(
				checkBound(`starts in the withdrawn zone after 3 s, ${name}`, measured.lateStarts, {comparison: 'atMost', limit: 0, unit: 'tasks'}),
				checkBound(`work done while the zone leaves and returns, ${name}`, measured.part, {comparison: 'atLeast', limit: 0.95, unit: 'part of the usable slots'}),
			);
			details[name] = {zone, measured, counters: Object.fromEntries(pump.counters)};
		}

		return {bounds, baselines: [], details};
	},
};
