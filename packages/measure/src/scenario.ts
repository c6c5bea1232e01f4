/**
 * Generates requests of one user from a seed and delivers them to the user's entry instances in the simulation.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {type WorkClass} from '@rosemaryquay/core/catalogue/schema';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {type User} from './load-user.js';
import {Simulation} from './simulation.js';
import {type Delivery, type WorkerModel} from './simulation-types.js';

/** A generated request. */
export type Request = {
	readonly id: string;
	readonly at: number;
	readonly queue: string;
	readonly pool: string;
	readonly class: WorkClass;
	readonly team: string;
	/** Index of the entry instance that receives it. */
	readonly entry: number;
	readonly runMs: number;
};

/** Arrivals for one queue and team at a constant mean rate over a period. */
export type Stream = {
	readonly queue: string;
	readonly team: string;
	readonly fromMs: number;
	readonly untilMs: number;
	readonly perSecond: number;
	readonly meanRunMs: number;
	/** Indices of the entry instances that receive the requests, each with equal probability. */
	readonly entries: readonly number[];
};

export type Random = () => number;

/** Jitter, loss and duplication of messages between entry instances. */
export const messageFaults: Partial<Delivery> = {jitterMs: 20, dropProbability: 0.05, duplicateProbability: 0.02};

const confirmationIntervalMs = 500;
const maximumMultipleOfMean = 4;

export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => uniformInt(generator, 0, 0xFF_FF_FF) / 0x1_00_00_00;
}

function drawExponential(random: Random, mean: number): number {
	return Math.min(-Math.log(1 - random()) * mean, mean * maximumMultipleOfMean);
}

/** Generates the requests of streams, with exponential inter-arrival and run times, in order of arrival. */
export function createRequests(user: User, streams: readonly Stream[], random: Random): Request[] {
	const requests: Array<Omit<Request, 'id'>> = [];
	for (const stream of streams) {
		const queue = user.catalogue.queues[stream.queue];
		const pool = user.catalogue.services[queue?.service ?? '']?.pool;
		if (queue === undefined || pool === undefined) {
			throw new Error(`Queue "${stream.queue}" is not in the catalogue`);
		}

		let at = stream.fromMs + drawExponential(random, 1000 / stream.perSecond);
		while (at < stream.untilMs) {
			requests.push({
				at,
				queue: stream.queue,
				pool,
				class: queue.class,
				team: stream.team,
				entry: stream.entries[Math.floor(random() * stream.entries.length)] ?? 0,
				runMs: Math.max(1, drawExponential(random, stream.meanRunMs)),
			});
			at += drawExponential(random, 1000 / stream.perSecond);
		}
	}

	return requests.toSorted((a, b) => a.at - b.at).map((request, index) => ({...request, id: `r-${index}`}));
}

function findKeyHash(user: User, team: string): string {
	const [key] = Object.values(user.catalogue.teams[team]?.keys ?? {});
	return key?.hash ?? '';
}

/** Creates a simulation with the user's entry instances and schedules the requests; the caller runs it. */
export function createScenario(user: User, requests: readonly Request[], options: {seed: number; delivery?: Partial<Delivery>; outcome?: WorkerModel['outcome']}): {simulation: Simulation; nodeIds: string[]} {
	const {seed, delivery = {}, outcome} = options;
	const {zones, entryInstances} = user.fleet;
	const nodes = Array.from({length: entryInstances}, (_, index) => createNode({id: `entry-${index + 1}`, zone: zones[index % zones.length] ?? '', seed: seed + index}));
	const nodeIds = nodes.map(node => node.id);
	const byId = new Map(requests.map(request => [request.id, request]));
	const [pool] = Object.values(user.catalogue.pools);
	const simulation = new Simulation({
		nodes, seed, delivery, worker: {slots: pool?.limits.slotsPerInstance ?? 1, serviceTimeMs: id => byId.get(id)?.runMs ?? 1, ...(outcome !== undefined && {outcome})},
	});
	for (const name of nodeIds) {
		simulation.deliver(name, {type: 'catalogue-loaded', snapshot: createSnapshot(user.catalogue, 1)});
		simulation.deliver(name, {type: 'instances-listed', instances: user.instances});
		simulation.deliver(name, {type: 'peers-listed', members: nodeIds});
		const confirm = (): void => {
			simulation.deliver(name, {type: 'configuration-confirmed'});
			simulation.after(confirmationIntervalMs, confirm);
		};

		confirm();
	}

	const arrive = (index: number): void => {
		const request = requests[index];
		if (request !== undefined) {
			simulation.at(request.at, () => {
				simulation.deliver(nodeIds[request.entry] ?? '', {
					type: 'request-arrived', arrival: {
						id: request.id, queue: request.queue, keyHash: findKeyHash(user, request.team), bodyBytes: 0,
					},
				});
				arrive(index + 1);
			});
		}
	};

	arrive(0);
	return {simulation, nodeIds};
}
