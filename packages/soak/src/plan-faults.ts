import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Time before the first fault, in which the processes elect an owner. */
const leadMs = 1500;

/** Longest time from one fault, or series of faults, to the next; shorter than most faults, so that they overlap. */
const longestGapMs = 1600;

/** A series is up to four faults of one kind, so close that one begins while the program still handles the one before it. */
const longestSeries = 4;
const longestSeriesGapMs = 400;
const seriesPercent = 30;

/** Time after a fault in a worker's process in which it gets no other: a process that is paused can't record its own end. */
const workerRestMs = 1500;

/**
 * Workers that are restarted and cut off soon after, which the general draw hardly brings about: their number, the time for which they
 * are down, the time until the cut, and the time to the next such case, shorter than a cut, so that the cases overlap.
 */
const recut = {
	workers: [1, 2], downMs: [300, 800], untilCutMs: [300, 2600], gapMs: [4000, 14_000],
} as const;

/** What happens to the owner between the restart of workers and shortly after their cut. */
const ownerFaults: ReadonlyArray<readonly FaultKind[]> = [[], ['owner-killed'], ['owner-stopped'], ['owner-killed', 'owner-killed'], ['processes-killed']];
const afterCutMs = 600;

/** Time between two kills of owners, in which the next owner takes over. */
const nextOwnerMs = [1000, 2500] as const;

/** Distinguishes the random numbers of these cases from those of the other faults, which stay the same for a seed. */
const recutSeedOffset = 1_000_000;

/** Names of what the faults of a schedule may hit. */
export type FaultTargets = {
	readonly processes: readonly string[];
	readonly workers: readonly string[];
	readonly connections: readonly string[];
};

type KindRule = {
	readonly hits: keyof FaultTargets | readonly string[];
	/** Shortest and longest duration in milliseconds. */
	readonly durationMs: readonly [number, number];
	/** How often the kind is drawn relative to the others; 1 by default, 0 for a kind that comes only with others. */
	readonly weight?: number;
	readonly comesInSeries?: boolean;
};

const store = ['store'];
const owner = ['owner'];

const kindRules = {
	'connection-delayed': {hits: 'connections', durationMs: [500, 4000], weight: 3},
	'connection-reset': {
		hits: 'connections', durationMs: [0, 0], weight: 3, comesInSeries: true,
	},
	// Up to the time after which the owner gives up a worker (3.4 s) and beyond it.
	'connection-silent': {hits: 'connections', durationMs: [500, 5000], weight: 3},
	'connection-silent-one-way': {hits: 'connections', durationMs: [500, 5000], weight: 3},
	'process-killed': {
		hits: 'processes', durationMs: [200, 2500], weight: 2, comesInSeries: true,
	},
	'process-paused': {hits: 'processes', durationMs: [300, 5000], weight: 3},
	'process-stopped': {
		hits: 'processes', durationMs: [500, 2500], weight: 2, comesInSeries: true,
	},
	'settings-reloaded': {hits: 'processes', durationMs: [0, 0], comesInSeries: true},
	'worker-killed': {hits: 'workers', durationMs: [200, 3000], weight: 2},
	'worker-paused': {hits: 'workers', durationMs: [300, 5000], weight: 2},
	'store-refuses': {hits: store, durationMs: [300, 4000]},
	'store-refuses-writes': {hits: store, durationMs: [300, 4000]},
	'store-silent': {hits: store, durationMs: [300, 4000]},
	// Beyond the deadline of callers (3 s), until which the program repeats a transaction whose answer was lost.
	'store-loses-answers': {hits: store, durationMs: [200, 4500], weight: 2},
	'store-answers-late': {hits: store, durationMs: [300, 3000]},
	'store-loses-history': {hits: store, durationMs: [0, 0], comesInSeries: true},
	'configuration-changed': {hits: store, durationMs: [0, 0], comesInSeries: true},
	// Longer than the 5 s after which a withdrawn key must not work any more.
	'key-withdrawn': {hits: ['south'], durationMs: [6500, 8000]},
	'organisation-overloads': {hits: ['north', 'south'], durationMs: [1000, 4000]},
	'worker-cut': {hits: 'workers', durationMs: [4000, 9000], weight: 0},
	'owner-killed': {hits: owner, durationMs: [500, 2500], weight: 0},
	'owner-stopped': {hits: owner, durationMs: [500, 2500], weight: 0},
	'processes-killed': {hits: ['all processes'], durationMs: [200, 1000], weight: 0},
} satisfies Readonly<Record<string, KindRule>>;

export type FaultKind = keyof typeof kindRules;

/** A fault of the schedule; `number` is what `--only` selects it by. Times are in milliseconds since the start of the run. */
export type Fault = {readonly number: number} & DrawnFault;
type DrawnFault = {readonly kind: FaultKind; readonly target: string; readonly atMs: number; readonly durationMs: number};

/**
 * Draws the schedule of faults of a run. It depends on its arguments alone.
 *
 * @param seed - seed of the random numbers
 * @param options - duration of the run in milliseconds, at the end of which all faults are over, and what they may hit
 * @returns the faults in the order of their beginning, numbered from 1; the restarts with a cut have numbers after the others
 * @example
 * planFaults(1, {durationMs: 20_000, targets: {processes: ['entry-1'], workers: ['w1'], connections: ['callers>entry-1']}});
 */
export function planFaults(seed: number, options: {durationMs: number; targets: FaultTargets}): Fault[] {
	const {durationMs, targets} = options;
	const random = xoroshiro128plus(seed);
	const lots = (Object.entries(kindRules) as Array<[FaultKind, KindRule]>).flatMap(([kind, {weight = 1}]) => Array.from({length: weight}, () => kind));
	const faults: DrawnFault[] = [];
	const workersBusyUntil = new Map<string, number>();
	for (let atMs = leadMs; atMs < durationMs; atMs += uniformInt(random, 0, longestGapMs)) {
		const kind = draw(random, lots);
		const rule: KindRule = kindRules[kind];
		const target = draw(random, typeof rule.hits === 'string' ? targets[rule.hits] : rule.hits);
		const count = rule.comesInSeries && uniformInt(random, 1, 100) <= seriesPercent ? uniformInt(random, 2, longestSeries) : 1;
		let beginsAt = atMs;
		for (let position = 0; position < count; position++) {
			const fault = {
				kind, target, atMs: beginsAt, durationMs: uniformInt(random, ...rule.durationMs),
			};
			beginsAt += uniformInt(random, 0, longestSeriesGapMs);
			const endsAt = fault.atMs + fault.durationMs;
			if (endsAt > durationMs || (workersBusyUntil.get(target) ?? 0) > fault.atMs) {
				continue;
			}

			faults.push(fault);
			if (rule.hits === 'workers') {
				workersBusyUntil.set(target, endsAt + workerRestMs);
			}
		}
	}

	const recuts = drawRecuts(xoroshiro128plus(seed + recutSeedOffset), {durationMs, targets, faults});
	return [...faults.toSorted(compareBeginnings), ...recuts.toSorted(compareBeginnings)]
		.map((fault, position) => ({number: position + 1, ...fault}))
		.toSorted(compareBeginnings);
}

function compareBeginnings(a: DrawnFault, b: DrawnFault): number {
	return a.atMs - b.atMs;
}

/** Draws the cases of workers that are restarted and cut off, beside the faults that are drawn already. */
function drawRecuts(random: RandomGenerator, options: {durationMs: number; targets: FaultTargets; faults: readonly DrawnFault[]}): DrawnFault[] {
	const {durationMs, targets, faults} = options;
	const recuts: DrawnFault[] = [];
	for (let atMs = leadMs; atMs < durationMs; atMs += uniformInt(random, ...recut.gapMs)) {
		const downMs = uniformInt(random, ...recut.downMs);
		const cutAt = atMs + downMs + uniformInt(random, ...recut.untilCutMs);
		const cutMs = uniformInt(random, ...kindRules['worker-cut'].durationMs);
		const count = uniformInt(random, ...recut.workers);
		const ownerFault = draw(random, ownerFaults);
		const free = targets.workers.filter(worker => isUntouched(worker, {faults: [...faults, ...recuts], fromMs: atMs, untilMs: cutAt + cutMs}));
		if (free.length === 0 || cutAt + cutMs > durationMs) {
			continue;
		}

		const first = uniformInt(random, 0, free.length - 1);
		for (const worker of new Set(Array.from({length: count}, (_, position) => free[(first + position) % free.length]!))) {
			recuts.push({
				kind: 'worker-killed', target: worker, atMs, durationMs: downMs,
			}, {
				kind: 'worker-cut', target: worker, atMs: cutAt, durationMs: cutMs,
			});
		}

		let beginsAt = uniformInt(random, atMs + downMs, cutAt + afterCutMs);
		for (const kind of ownerFault) {
			const rule: KindRule = kindRules[kind];
			const fault = {
				kind, target: draw(random, rule.hits as readonly string[]), atMs: beginsAt, durationMs: uniformInt(random, ...rule.durationMs),
			};
			beginsAt += uniformInt(random, ...nextOwnerMs);
			if (fault.atMs + fault.durationMs <= durationMs) {
				recuts.push(fault);
			}
		}
	}

	return recuts;
}

/** Tells whether no fault hits a worker in a time, nor within its rest before and after. */
function isUntouched(worker: string, options: {faults: readonly DrawnFault[]; fromMs: number; untilMs: number}): boolean {
	const {faults, fromMs, untilMs} = options;
	return faults.every(({target, atMs, durationMs}) => target !== worker || atMs + durationMs + workerRestMs < fromMs || atMs > untilMs + workerRestMs);
}

function draw<Element>(random: RandomGenerator, elements: readonly Element[]): Element {
	const element = elements[uniformInt(random, 0, elements.length - 1)];
	if (element === undefined) {
		throw new Error('There is nothing to draw from');
	}

	return element;
}
