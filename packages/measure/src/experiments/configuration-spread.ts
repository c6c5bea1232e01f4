import {chooseNeighbours, type Location} from '@rosemaryquay/core/membership/choose-neighbours';
import {largeFleetSummaryIntervalMs, tickIntervalMs} from '@rosemaryquay/core/constants';
import {checkBound} from '../check-bound.js';
import {type ControlSimulation, findRevisionInForce, startControlSimulation} from '../control-simulation.js';
import {type Baseline, type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';

const changeCount = 20;
const changeIntervalMs = 4000;
const pollIntervalMs = 10;
const maximumSpreadMs = 3000;

/** Entry instances at the design size, assuming eight per availability zone. */
const designZoneCount = 25;
const designMemberCount = designZoneCount * 8;
const designChangesPerSecond = 33_000 / 86_400;
/** Assumed one-way delay between regions. */
const regionDelayMs = 100;
const announcementBytes = JSON.stringify({type: 'announcement', member: 'entry-100-mb0x1y2z', revision: 1_000_000}).length;
/** Instances in the fleet in which the size of summaries with relayed digests is measured. */
const relayingFleetSize = 27;

type Condition = {readonly dropProbability?: number; readonly instancesWithoutStore?: number; readonly pausesInstance?: boolean; readonly losesStoreAfterChange?: boolean};

/**
 * `instancesWithoutStore`: instances cut off from the store before each change.
 * `losesStoreAfterChange`: the store becomes unavailable to all instances as soon as the change is accepted.
 */
const conditions: Readonly<Record<string, Condition>> = {
	plain: {},
	'20 % loss': {dropProbability: 0.2},
	'store away for half': {instancesWithoutStore: 4},
	'store away for half, 20 % loss': {instancesWithoutStore: 4, dropProbability: 0.2},
	'store lost after the change': {instancesWithoutStore: 4, losesStoreAfterChange: true},
	'one instance paused': {pausesInstance: true},
};

type Spread = {worstMs: number; bytesPerSecond: number; readsPerSecond: number; requests: number};

function awaitRevision(pump: ControlSimulation, revision: number, sinceMs: number, record: (ms: number) => void): void {
	const ids = [...pump.nodes.keys()];
	if (ids.every(id => findRevisionInForce(pump, id) >= revision)) {
		record(pump.now - sinceMs);
		return;
	}

	if (pump.now - sinceMs >= changeIntervalMs - (2 * pollIntervalMs)) {
		record(changeIntervalMs);
		return;
	}

	pump.after(pollIntervalMs, () => {
		awaitRevision(pump, revision, sinceMs, record);
	});
}

function submitChange(pump: ControlSimulation, user: User, options: {index: number; condition: Condition; record: (ms: number) => void}): void {
	const {index, condition, record} = options;
	const names = Object.keys(user.catalogue.teams);
	const name = names[index % names.length] ?? '';
	const requestId = `change-${index}`;
	const last = `entry-${pump.nodes.size - 1}`;
	const pausedMs = condition.pausesInstance === true ? 1500 : 0;
	if (pausedMs > 0) {
		pump.pause(last, pump.now + pausedMs);
	}

	pump.deliver('entry-0', {
		type: 'edit-requested', edit: {
			requestId, operator: 'ann', section: 'teams', name, value: {...user.catalogue.teams[name], share: 1 + index}, baseRevision: findRevisionInForce(pump, 'entry-0'),
		},
	});
	const awaitAnswer = (): void => {
		const answer = pump.edits.get(requestId);
		if (answer === undefined) {
			pump.after(1, awaitAnswer);
			return;
		}

		if (answer.result.type !== 'accepted') {
			record(changeIntervalMs);
			return;
		}

		if (condition.losesStoreAfterChange === true) {
			pump.storeCondition = {down: true};
		}

		// A paused instance starts no work, so the time counts from when it resumes.
		const sinceMs = answer.at + pausedMs;
		const {revision} = answer.result;
		pump.at(sinceMs, () => {
			awaitRevision(pump, revision, sinceMs, record);
		});
	};

	awaitAnswer();
}

function measureSpread(user: User, seed: number, condition: Condition, carryRevisions: boolean): Spread {
	const pump = startControlSimulation(user, {seed, drop: condition.dropProbability ?? 0});
	pump.carryRevisions = carryRevisions;
	pump.countStoreBytes = true;
	const begin = pump.now;
	pump.bytesByNode.clear();
	pump.readsByNode.clear();
	const spreadsMs: number[] = [];
	const record = (ms: number): void => {
		spreadsMs.push(ms);
	};

	for (let index = 0; index < changeCount; index++) {
		const at = begin + (index * changeIntervalMs);
		pump.at(at, () => {
			pump.storeCondition = {};
			pump.isolatedFromStore.clear();
		});
		pump.at(at + (changeIntervalMs / 2), () => {
			pump.isolate(Array.from({length: condition.instancesWithoutStore ?? 0}, (_, offset) => `entry-${7 - offset}`), pump.isolatedFromStore);
		});
		// Members had the first half of the interval to reconnect to the store.
		pump.at(at + (changeIntervalMs / 2) + 200, () => {
			submitChange(pump, user, {index, condition, record});
		});
	}

	const seconds = ((changeCount + 1) * changeIntervalMs) / 1000;
	pump.run(begin + (seconds * 1000));
	return {
		worstMs: Math.max(...spreadsMs),
		bytesPerSecond: Math.round(Math.max(...pump.bytesByNode.values()) / seconds),
		readsPerSecond: Math.round((100 * Math.max(...pump.readsByNode.values())) / seconds) / 100,
		requests: pump.counters.get('catalogue.from-peer') ?? 0,
	};
}

/** Returns the maximum number of neighbours, and the hops from one member to the farthest other, at the design size. */
function measureGraph(): {degree: number; hops: number} {
	const members: Location[] = Array.from({length: designMemberCount}, (_, index) => ({id: `entry-${index}`, zone: `zone-${index % designZoneCount}`}));
	const neighbours = new Map(members.map(member => [member.id, chooseNeighbours(member, members)]));
	let hops = -1;
	let frontier = ['entry-0'];
	const seen = new Set(frontier);
	while (frontier.length > 0) {
		hops += 1;
		const next = new Set<string>();
		for (const id of frontier) {
			for (const neighbour of neighbours.get(id) ?? []) {
				if (!seen.has(neighbour)) {
					seen.add(neighbour);
					next.add(neighbour);
				}
			}
		}

		frontier = [...next];
	}

	return {degree: Math.max(...[...neighbours.values()].map(ids => ids.length)), hops: seen.size === designMemberCount ? hops : Number.POSITIVE_INFINITY};
}

/** Measures the mean size of a summary that relays digests, and the largest size of an entry as a member receives it. */
function measureMessageSizes(user: User, seed: number): {summaryBytes: number; entryBytes: number} {
	const pump = startControlSimulation(user, {seed, instances: relayingFleetSize});
	pump.summaries = 0;
	pump.summaryBytes = 0;
	pump.run(pump.now + 20_000);
	const entries = pump.store.list('rosemaryquay/catalogue/sections/');
	return {
		summaryBytes: pump.summaryBytes / pump.summaries,
		entryBytes: Math.max(...entries.entries.map(entry => JSON.stringify(entry).length)),
	};
}

function calculateDesignBounds(user: User, seed: number): {bounds: Bound[]; detail: unknown} {
	const {degree, hops} = measureGraph();
	const {summaryBytes, entryBytes} = measureMessageSizes(user, seed);
	// Each hop takes up to one tick interval and three one-way messages: summary, request and response.
	const spreadMs = hops * (tickIntervalMs + (3 * regionDelayMs));
	const summaryRate = degree * summaryBytes * (1000 / largeFleetSummaryIntervalMs);
	const announcementRate = degree * announcementBytes * designChangesPerSecond;
	// Each member sends as much to its neighbours as it receives from them, hence the factor 2.
	// A changed entry arrives once, with its head, through the store watch.
	const bytesPerSecond = Math.round((2 * (summaryRate + announcementRate)) + (designChangesPerSecond * (entryBytes + announcementBytes)));
	return {
		bounds: [
			checkBound('spread at the design size without the store', spreadMs, {comparison: 'atMost', limit: 8000, unit: 'ms'}),
			checkBound('control traffic per node at the design size, sent and received', bytesPerSecond, {comparison: 'atMost', limit: 7000, unit: 'bytes/s'}),
		],
		detail: {
			degree, hops, summaryBytes: Math.round(summaryBytes), entryBytes,
		},
	};
}

/** Measures the time until a change is in force everywhere, with and without revisions on peer messages. */
export const configurationSpread: Experiment = {
	summary: 'Time until a change is in force everywhere, and store reads and bytes per node',
	run({seed}) {
		const bounds: Bound[] = [];
		const baselines: Baseline[] = [];
		const details: Record<string, unknown> = {};
		for (const name of listUsers()) {
			const user = loadUser(name);
			for (const [label, condition] of Object.entries(conditions)) {
				const {worstMs, ...figures} = measureSpread(user, seed, condition, true);
				const baseline = measureSpread(user, seed, condition, false);
				const measureName = `in force everywhere, ${name}, ${label}`;
				bounds.push(checkBound(measureName, worstMs, {comparison: 'atMost', limit: maximumSpreadMs, unit: 'ms'}));
				baselines.push({
					name: `without revisions on peer messages (${changeIntervalMs}: not within the window)`, measure: measureName, unit: 'ms', value: baseline.worstMs,
				});
				details[`${name}, ${label}`] = figures;
			}
		}

		const [first = ''] = listUsers();
		const {bounds: designBounds, detail} = calculateDesignBounds(loadUser(first), seed);
		return {bounds: [...bounds, ...designBounds], baselines, details: {...details, design: detail}};
	},
};
