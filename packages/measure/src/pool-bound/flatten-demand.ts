import {type Window} from './list-windows.js';

/** Length of a slot in milliseconds; bounds the computation, and shorter than any task. */
export const slotMs = 100;

const slotSeconds = slotMs / 1000;

type Interval = {from: number; to: number; intensity: number};

/**
 * Spreads work over its windows so that the demand is as flat as possible: repeatedly takes the interval with the highest
 * ratio of work to time (the schedule of Yao, Demers and Shenker). Any schedule in time uses at least that many cores at
 * some moment of such an interval. Tasks count as divisible, so this is a lower bound.
 *
 * @param windows - the work
 * @param slotCount - number of slots
 * @returns cores in use in each slot
 * @example
 * flattenDemand([{releaseMs: 0, deadlineMs: 1000, work: 4}], 20)[0]; // 4
 */
export function flattenDemand(windows: readonly Window[], slotCount: number): number[] {
	const demand = Array.from({length: slotCount}, () => 0);
	let open = windows.map(({releaseMs, deadlineMs, work}) => ({from: Math.floor(releaseMs / slotMs), to: Math.min(slotCount, Math.ceil(deadlineMs / slotMs)), work}));
	// Slots that are not assigned yet; windows are in positions of this list.
	let slots = demand.map((_, slot) => slot);
	while (open.length > 0) {
		const {from, to, intensity} = findDensestInterval(open, slots.length);
		for (const slot of slots.slice(from, to)) {
			demand[slot] = intensity;
		}

		slots = [...slots.slice(0, from), ...slots.slice(to)];
		const contract = (position: number): number => position <= from ? position : Math.max(from, position - (to - from));
		open = open.filter(window => window.from < from || window.to > to).map(window => ({...window, from: contract(window.from), to: contract(window.to)}));
	}

	return demand;
}

function findDensestInterval(open: ReadonlyArray<{from: number; to: number; work: number}>, slotCount: number): Interval {
	const byStart = new Map<number, Array<{to: number; work: number}>>();
	for (const {from, to, work} of open) {
		byStart.set(from, [...byStart.get(from) ?? [], {to, work}]);
	}

	const workByEnd = Array.from({length: slotCount + 1}, () => 0);
	let densest: Interval = {from: 0, to: slotCount, intensity: -1};
	for (const from of [...byStart.keys()].toSorted((left, right) => right - left)) {
		for (const {to, work} of byStart.get(from) ?? []) {
			workByEnd[to] = (workByEnd[to] ?? 0) + work;
		}

		let work = 0;
		for (let to = from + 1; to <= slotCount; to++) {
			work += workByEnd[to] ?? 0;
			const intensity = work / ((to - from) * slotSeconds);
			if ((workByEnd[to] ?? 0) > 0 && intensity > densest.intensity) {
				densest = {from, to, intensity};
			}
		}
	}

	return densest;
}
