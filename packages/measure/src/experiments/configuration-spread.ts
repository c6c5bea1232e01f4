import {chooseNeighbours, type Location} from '@rosemaryquay/core/membership/choose-neighbours';
import {largeFleetSummaryIntervalMs, tickIntervalMs} from '@rosemaryquay/core/constants';
import {checkBound} from '../check-bound.js';
import {type ControlSimulation, findRevisionInForce, startControlSimulation} from '../control-simulation.js';
import {type Baseline, type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';

const changeCount = 20;
const changeIntervalMs = 4000;
const pollIntervalMs = 10;
/** Time within which an accepted change must be in force at every instance. */
const maximumPropagationMs = 3000;

/** Entry instances of the largest supported fleet (17,000 instances), assuming eight per availability zone. */
const largestFleetZoneCount = 25;
const largestFleetMemberCount = largestFleetZoneCount * 8;
const largestFleetChangesPerSecond = 33_000 / 86_400;
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

function awaitRevision(simulation: ControlSimulation, revision: number, sinceMs: number, record: (ms: number) => void): void {
	const ids = [...simulation.nodes.keys()];
	if (ids.every(id => findRevisionInForce(simulation, id) >= revision)) {
		record(simulation.now - sinceMs);
		return;
	}

	if (simulation.now - sinceMs >= changeIntervalMs - (2 * pollIntervalMs)) {
		record(changeIntervalMs);
		return;
	}

	simulation.after(pollIntervalMs, () => {
		awaitRevision(simulation, revision, sinceMs, record);
	});
}

function submitChange(simulation: ControlSimulation, user: User, options: {index: number; condition: Condition; record: (ms: number) => void}): void {
	const {index, condition, record} = options;
	const names = Object.keys(user.catalogue.teams);
	const name = names[index % names.length] ?? '';
	const requestId = `change-${index}`;
	const last = `entry-${simulation.nodes.size - 1}`;
	const pausedMs = condition.pausesInstance === true ? 1500 : 0;
	if (pausedMs > 0) {
		simulation.pause(last, simulation.now + pausedMs);
	}

	simulation.deliver('entry-0', {
		type: 'edit-requested', edit: {
			requestId, operator: 'ann', section: 'teams', name, value: {...user.catalogue.teams[name], share: 1 + index}, baseRevision: findRevisionInForce(simulation, 'entry-0'),
		},
	});
	const awaitAnswer = (): void => {
		const answer = simulation.edits.get(requestId);
		if (answer === undefined) {
			simulation.after(1, awaitAnswer);
			return;
		}

		if (answer.result.type !== 'accepted') {
			record(changeIntervalMs);
			return;
		}

		if (condition.losesStoreAfterChange === true) {
			simulation.storeCondition = {down: true};
		}

		// A paused instance starts no work, so the time counts from when it resumes.
		const sinceMs = answer.at + pausedMs;
		const {revision} = answer.result;
		simulation.at(sinceMs, () => {
			awaitRevision(simulation, revision, sinceMs, record);
		});
	};

	awaitAnswer();
}

function measureSpread(user: User, seed: number, condition: Condition, carryRevisions: boolean): Spread {
	const simulation = startControlSimulation(user, {seed, dropProbability: condition.dropProbability ?? 0});
	simulation.carryRevisions = carryRevisions;
	simulation.countStoreBytes = true;
	const begin = simulation.now;
	simulation.bytesByNode.clear();
	simulation.readsByNode.clear();
	const spreadsMs: number[] = [];
	const record = (ms: number): void => {
		spreadsMs.push(ms);
	};

	for (let index = 0; index < changeCount; index++) {
		const at = begin + (index * changeIntervalMs);
		simulation.at(at, () => {
			simulation.storeCondition = {};
			simulation.isolatedFromStore.clear();
		});
		simulation.at(at + (changeIntervalMs / 2), () => {
			simulation.isolate(Array.from({length: condition.instancesWithoutStore ?? 0}, (_, offset) => `entry-${7 - offset}`), simulation.isolatedFromStore);
		});
		// Members had the first half of the interval to reconnect to the store.
		simulation.at(at + (changeIntervalMs / 2) + 200, () => {
			submitChange(simulation, user, {index, condition, record});
		});
	}

	const seconds = ((changeCount + 1) * changeIntervalMs) / 1000;
	simulation.run(begin + (seconds * 1000));
	return {
		worstMs: Math.max(...spreadsMs),
		bytesPerSecond: Math.round(Math.max(...simulation.bytesByNode.values()) / seconds),
		readsPerSecond: Math.round((100 * Math.max(...simulation.readsByNode.values())) / seconds) / 100,
		requests: simulation.counters.get('catalogue.from-peer') ?? 0,
	};
}

/** Returns the maximum number of neighbours, and the hops from one member to the farthest other, in the largest supported fleet. */
function measureGraph(): {degree: number; hops: number} {
	const members: Location[] = Array.from({length: largestFleetMemberCount}, (_, index) => ({id: `entry-${index}`, zone: `zone-${index % largestFleetZoneCount}`}));
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

	return {degree: Math.max(...[...neighbours.values()].map(ids => ids.length)), hops: seen.size === largestFleetMemberCount ? hops : Number.POSITIVE_INFINITY};
}

/** Measures the mean size of a summary that relays digests, and the largest size of an entry as a member receives it. */
function measureMessageSizes(user: User, seed: number): {summaryBytes: number; entryBytes: number} {
	const simulation = startControlSimulation(user, {seed, instances: relayingFleetSize});
	simulation.summaries = 0;
	simulation.summaryBytes = 0;
	simulation.run(simulation.now + 20_000);
	const entries = simulation.store.list('rosemaryquay/catalogue/sections/');
	return {
		summaryBytes: simulation.summaryBytes / simulation.summaries,
		entryBytes: Math.max(...entries.entries.map(entry => JSON.stringify(entry).length)),
	};
}

function calculateLargestFleetBounds(user: User, seed: number): {bounds: Bound[]; detail: unknown} {
	const {degree, hops} = measureGraph();
	const {summaryBytes, entryBytes} = measureMessageSizes(user, seed);
	// Each hop takes up to one tick interval and three one-way messages: summary, request and response.
	const spreadMs = hops * (tickIntervalMs + (3 * regionDelayMs));
	const summaryRate = degree * summaryBytes * (1000 / largeFleetSummaryIntervalMs);
	const announcementRate = degree * announcementBytes * largestFleetChangesPerSecond;
	// Each member sends as much to its neighbours as it receives from them, hence the factor 2.
	// A changed entry arrives once, with its head, through the store watch.
	const bytesPerSecond = Math.round((2 * (summaryRate + announcementRate)) + (largestFleetChangesPerSecond * (entryBytes + announcementBytes)));
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
				bounds.push(checkBound(measureName, worstMs, {comparison: 'atMost', limit: maximumPropagationMs, unit: 'ms'}));
				baselines.push({
					name: `without revisions on peer messages (${changeIntervalMs}: not within the window)`, measure: measureName, unit: 'ms', value: baseline.worstMs,
				});
				details[`${name}, ${label}`] = figures;
			}
		}

		const [first = ''] = listUsers();
		const {bounds: largestFleetBounds, detail} = calculateLargestFleetBounds(loadUser(first), seed);
		return {bounds: [...bounds, ...largestFleetBounds], baselines, details: {...details, design: detail}};
	},
};
