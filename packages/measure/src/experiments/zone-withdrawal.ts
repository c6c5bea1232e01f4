/**
 * Counts task starts in a withdrawn availability zone, and measures the work done during its withdrawal and return.
 */
import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {type Catalogue} from '@rosemaryquay/core/catalogue/schema';
import {checkBound} from '../check-bound.js';
import {type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {type Simulation} from '../simulation.js';
import {
	createRandom, createRequests, createScenario, messageFaults, type Random, type Stream,
} from '../scenario.js';

const withdrawnAtMs = 20_000;
const restoredAtMs = 45_000;
const endMs = 65_000;
/** Time within which a catalogue change must be in force at every instance. */
const maximumPropagationMs = 3000;
/** Maximum simulated delay until an instance receives a catalogue change; shorter than `maximumPropagationMs`. */
const maximumUpdateDelayMs = 2500;
/** Demand relative to the capacity of each pool. */
const loadFactor = 1.2;
const failureProbability = 0.02;
const meanRunMs = {urgent: 120, standard: 400, bulk: 3000} as const;

function countSlots(user: User, pool: string, includes: (zone: string) => boolean): number {
	const instances = user.instances.filter(instance => instance.pool === pool && includes(instance.zone)).length;
	return instances * (user.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0);
}

/** Creates constant demand above the capacity of every pool, split evenly among its queues. */
function createStreams(user: User): Stream[] {
	const streams: Stream[] = [];
	const entries = Array.from({length: user.fleet.entryInstances}, (_, index) => index);
	const teams = Object.entries(user.catalogue.teams);
	const totalWeight = teams.reduce((sum, [, team]) => sum + team.share, 0);
	const queues = Object.entries(user.catalogue.queues);
	for (const [queue, entry] of queues) {
		const pool = user.catalogue.services[entry.service]?.pool ?? '';
		const poolQueueCount = queues.filter(([, other]) => user.catalogue.services[other.service]?.pool === pool).length;
		const slots = (countSlots(user, pool, () => true) * loadFactor) / poolQueueCount;
		for (const [team, {share}] of teams) {
			const meanRun = meanRunMs[entry.class];
			streams.push({
				queue, team, fromMs: 0, untilMs: endMs, perSecond: (slots * share * 1000) / (totalWeight * meanRun), meanRunMs: meanRun, entries,
			});
		}
	}

	return streams;
}

function setWithdrawn(catalogue: Catalogue, zone: string, withdrawn: boolean): Catalogue {
	const entry = catalogue.zones[zone];
	return entry === undefined ? catalogue : {...catalogue, zones: {...catalogue.zones, [zone]: {...entry, withdrawn}}};
}

type ChangeContext = {readonly user: User; readonly nodeIds: readonly string[]; readonly zone: string; readonly random: Random};

function scheduleCatalogueChange(simulation: Simulation, at: number, revision: number, {user, nodeIds, zone, random}: ChangeContext): void {
	const snapshot = createSnapshot(setWithdrawn(user.catalogue, zone, revision === 2), revision);
	for (const nodeId of nodeIds) {
		simulation.at(at + Math.floor(random() * maximumUpdateDelayMs), () => {
			simulation.deliver(nodeId, {type: 'catalogue-loaded', snapshot});
		});
	}
}

function overlapMs(from: number, until: number, start: number, end: number): number {
	return Math.max(0, Math.min(until, end) - Math.max(from, start));
}

/** Returns the slot time that usable slots offer from the withdrawal until the zone is back at full capacity. */
function calculateOfferedSlotTime(user: User, zone: string): {offered: number; returnedAt: number} {
	const returnMs = user.catalogue.zones[zone]?.limits.returnMs ?? 0;
	const returnedAt = Math.min(endMs, restoredAtMs + returnMs);
	let offered = 0;
	for (const pool of Object.keys(user.catalogue.pools)) {
		offered += countSlots(user, pool, other => other !== zone) * (returnedAt - withdrawnAtMs);
		// The capacity of the zone ramps up linearly, so half of it is usable on average.
		offered += (countSlots(user, pool, other => other === zone) * (returnedAt - restoredAtMs)) / 2;
	}

	return {offered, returnedAt};
}

function measureTrace(user: User, simulation: Simulation, zone: string): {lateStarts: number; part: number; wastedMs: number} {
	const {offered, returnedAt} = calculateOfferedSlotTime(user, zone);
	const zoneByWorkerId = new Map(user.instances.map(instance => [instance.id, instance.zone]));
	const startedAt = new Map<string, number>();
	const checkpoints = new Map<string, {workerId: string; ms: number}>();
	let lateStarts = 0;
	let usefulMs = 0;
	let wastedMs = 0;
	for (const entry of simulation.trace) {
		if (entry.type === 'started') {
			startedAt.set(entry.attemptId, entry.at);
			const progress = checkpoints.get(entry.taskId);
			if (progress !== undefined && progress.workerId !== entry.workerId) {
				// The task restarts on another worker, so its checkpointed progress is wasted.
				usefulMs -= progress.ms;
				wastedMs += progress.ms;
				checkpoints.delete(entry.taskId);
			}

			lateStarts += zoneByWorkerId.get(entry.workerId) === zone && entry.at > withdrawnAtMs + maximumPropagationMs && entry.at < restoredAtMs ? 1 : 0;
		} else if (entry.type === 'ended') {
			const from = startedAt.get(entry.attemptId) ?? entry.at;
			// Work in the zone counts only after the zone is restored.
			const begin = zoneByWorkerId.get(entry.workerId) === zone ? restoredAtMs : withdrawnAtMs;
			const ms = overlapMs(from, entry.at, begin, returnedAt);
			if (entry.outcome.type === 'succeeded' || entry.outcome.type === 'checkpointed') {
				usefulMs += ms;
				if (entry.outcome.type === 'checkpointed') {
					checkpoints.set(entry.taskId, {workerId: entry.workerId, ms: ms + (checkpoints.get(entry.taskId)?.ms ?? 0)});
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
			// The first attempt of these requests fails, so that retries are due while the zone is withdrawn.
			const failing = new Set(requests.filter(({queue}) => user.catalogue.queues[queue]?.repeatable === true && random() < failureProbability).map(({id}) => id));
			const {simulation, nodeIds} = createScenario(user, requests, {
				seed, delivery: messageFaults, outcome: ({taskId}) => failing.delete(taskId) ? {type: 'failed', status: 500} : undefined,
			});
			const change = {
				user, nodeIds, zone, random,
			};
			scheduleCatalogueChange(simulation, withdrawnAtMs, 2, change);
			scheduleCatalogueChange(simulation, restoredAtMs, 3, change);
			simulation.run(endMs);
			const measured = measureTrace(user, simulation, zone);
			bounds.push(
				checkBound(`starts in the withdrawn zone after 3 s, ${name}`, measured.lateStarts, {comparison: 'atMost', limit: 0, unit: 'tasks'}),
				checkBound(`work done while the zone leaves and returns, ${name}`, measured.part, {comparison: 'atLeast', limit: 0.95, unit: 'part of the usable slots'}),
			);
			details[name] = {zone, measured, counters: Object.fromEntries(simulation.counters)};
		}

		return {bounds, baselines: [], details};
	},
};
