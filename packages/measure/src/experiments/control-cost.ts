/**
 * Measures the control overhead of one process while no request runs: processor time, memory and bytes a second,
 * by number of members, teams, workers and edits. One reducer receives the messages of its neighbours and the store.
 */
import process from 'node:process';
import {
	largeFleetSummaryIntervalMs, maximumNeighbours, summaryIntervalMs, tickIntervalMs,
} from '@rosemaryquay/core/constants';
import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {type Catalogue, catalogueSchema} from '@rosemaryquay/core/catalogue/schema';
import {type Demand, type Message} from '@rosemaryquay/core/membership/message';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {reduce} from '@rosemaryquay/core/node/reduce';
import {encodeFrame} from '@rosemaryquay/peer/encode-frame';
import {type UntimedEvent} from '../simulation-types.js';
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';

type Size = {readonly members: number; readonly teams: number; readonly workers: number; readonly editsPerDay: number};

/**
 * The size of a present fleet (40 workers), the same with one dimension raised to that of the largest supported fleet,
 * and the largest supported fleet: 17,000 workers have about 200 entry instances.
 */
const sizes: Readonly<Record<string, Size>> = {
	today: {
		members: 8, teams: 6, workers: 40, editsPerDay: 100,
	},
	members: {
		members: 200, teams: 6, workers: 40, editsPerDay: 100,
	},
	teams: {
		members: 8, teams: 430, workers: 40, editsPerDay: 100,
	},
	workers: {
		members: 8, teams: 6, workers: 17_000, editsPerDay: 100,
	},
	edits: {
		members: 8, teams: 6, workers: 40, editsPerDay: 33_000,
	},
	design: {
		members: 200, teams: 430, workers: 17_000, editsPerDay: 33_000,
	},
};

const simulatedMs = 60_000;
const secondsPerDay = 86_400;
const pools = 22;
const owner = 'measure';

/** Fraction of the teams that have demand at a member at the same time. */
const activeTeamFraction = 0.1;

function createCatalogue(teams: number): Catalogue {
	const names = Array.from({length: pools}, (_, index) => `pool-${index}`);
	return catalogueSchema.parse({
		organisations: {main: {owner}},
		teams: Object.fromEntries(Array.from({length: teams}, (_, index) => [`team-${index}`, {
			owner, organisation: 'main', share: 1, limits: {running: 40},
		}])),
		pools: Object.fromEntries(names.map(name => [name, {owner}])),
		services: Object.fromEntries(names.map(name => [name, {owner, pool: name, limits: {unavailable: 2}}])),
		zones: {'zone-0': {owner, region: 'main'}},
	});
}

function createSummary(member: string, sequence: number, size: Size): Message {
	const demand: Record<string, Record<string, Demand>> = {};
	const activeTeams = Math.ceil(size.teams * activeTeamFraction);
	for (let index = 0; index < activeTeams; index++) {
		const pool = `pool-${index % pools}`;
		demand[pool] = {...demand[pool], [`team-${index}`]: {running: 3, queued: 5}};
	}

	return {
		type: 'summary', member, zone: 'zone-0', sequence, revision: 1, storeContactAgeMs: 100, demand,
	};
}

type Cost = {readonly corePercent: number; readonly megabytes: number; readonly bytesPerSecond: number};

function measureCost(size: Size, seed: number): Cost {
	const node = createNode({
		id: 'member-0', zone: 'zone-0', seed, soleHolder: true,
	});
	const catalogue = createCatalogue(size.teams);
	let bytes = 0;
	let at = 0;
	const dispatch = (event: UntimedEvent): void => {
		for (const effect of reduce(node, {...event, at})) {
			if (effect.type === 'peer-send') {
				bytes += encodeFrame(effect.message).length;
			} else if (effect.type === 'store-transact') {
				bytes += JSON.stringify(effect.transaction).length;
			}
		}
	};

	dispatch({type: 'catalogue-loaded', snapshot: createSnapshot(catalogue, 1)});
	dispatch({type: 'peers-listed', members: Array.from({length: Math.min(size.members, maximumNeighbours + 1)}, (_, index) => `member-${index}`)});
	dispatch({
		type: 'instances-listed', instances: Array.from({length: size.workers}, (_, index) => ({
			id: `worker-${index}`, address: 'http://127.0.0.1:1', zone: 'zone-0', rack: `rack-${Math.floor(index / 4)}`, pool: `pool-${index % pools}`, state: 'live' as const,
		})),
	});
	const neighbours = Math.min(size.members - 1, maximumNeighbours);
	const intervalMs = size.members - 1 > maximumNeighbours ? largeFleetSummaryIntervalMs : summaryIntervalMs;
	const editIntervalMs = secondsPerDay * 1000 / size.editsPerDay;
	let revision = 1;
	let nextEditAt = editIntervalMs;
	const usageAtStart = process.cpuUsage();
	for (at = tickIntervalMs; at <= simulatedMs; at += tickIntervalMs) {
		dispatch({type: 'configuration-confirmed'});
		dispatch({type: 'tick'});
		if (at % intervalMs < tickIntervalMs) {
			for (let index = 1; index <= neighbours; index++) {
				const message = createSummary(`member-${index}`, at, size);
				bytes += encodeFrame(message).length;
				dispatch({type: 'peer-received', from: `member-${index}`, message});
			}
		}

		if (at >= nextEditAt) {
			revision += 1;
			nextEditAt += editIntervalMs;
			bytes += JSON.stringify(catalogue.teams['team-0']).length;
			dispatch({type: 'catalogue-loaded', snapshot: createSnapshot(catalogue, revision)});
		}
	}

	const {user, system} = process.cpuUsage(usageAtStart);
	return {
		corePercent: (user + system) / (simulatedMs * 10),
		megabytes: process.memoryUsage().heapUsed / (1024 * 1024),
		bytesPerSecond: bytes * 1000 / simulatedMs,
	};
}

export const controlCost: Experiment = {
	summary: 'Processor time, memory and bytes a second of control against members, teams, workers and edits',
	run({seed}) {
		const costs: Record<string, Cost> = {};
		for (const [name, size] of Object.entries(sizes)) {
			costs[name] = measureCost(size, seed);
		}

		const bounds = [];
		for (const name of ['today', 'design']) {
			const {corePercent, megabytes, bytesPerSecond} = costs[name] ?? {corePercent: Number.NaN, megabytes: Number.NaN, bytesPerSecond: Number.NaN};
			bounds.push(
				checkBound(`processor time, ${name}`, corePercent, {comparison: 'atMost', limit: 1.1, unit: '% of a core'}),
				checkBound(`memory, ${name}`, megabytes, {comparison: 'atMost', limit: 128, unit: 'MB'}),
				checkBound(`traffic, ${name}`, bytesPerSecond, {comparison: 'atMost', limit: 7000, unit: 'bytes/s'}),
			);
		}

		return {bounds, baselines: [], details: costs};
	},
};
