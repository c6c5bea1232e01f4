import {type Estimates} from '../estimates/estimates.js';
import {splitBySpeed} from '../estimates/split-by-speed.js';
import {type Resources} from '../state/configuration-schema.js';
import {isHarmless} from '../crashes/is-harmless.js';
import {staleWorkerMs} from '../state/constants.js';
import {type StepState, type TaskGroup, type Worker} from '../state/scheduler.js';
import {addResources} from './add-resources.js';
import {findPreferredRack} from './find-preferred-rack.js';
import {fitsInto} from './fits-into.js';
import {getReservedResources} from './get-reserved-resources.js';
import {isEligible} from './is-eligible.js';
import {satisfiesAntiAffinity} from './satisfies-anti-affinity.js';

/**
 * Chooses a worker for each task of a group. Prefers the rack that holds the data, or one rack for all tasks, where the
 * step asks for it. Tasks go to the worker with the least free capacity (best fit), so that other instances become empty and can move.
 * Long-running tasks do so only up to `mayMiss` and one of their step on a rack and on a worker; beyond that they are spread.
 * Those that were lost in a crash are spread as well, so that one that caused it takes few others down again.
 *
 * @param group - the task group
 * @param stepState - the step that it belongs to
 * @param options - workers that may get new tasks, the local time in milliseconds, and what was learned of their speeds
 * @returns a worker for each task, or undefined unless all of them fit
 * @example
 * chooseWorkers(group, stepState, {candidates: workers, now, estimates: scheduler.estimates});
 */
export function chooseWorkers(group: TaskGroup, stepState: StepState, options: {candidates: readonly Worker[]; now: number; estimates: Estimates}): Worker[] | undefined {
	const {candidates, now, estimates} = options;
	const eligible = candidates.filter(worker => isEligible(group, stepState, worker));
	const fresh = eligible.filter(({lastSeenAt}) => now - lastSeenAt < staleWorkerMs);
	const preferred = fresh.filter(({id}) => !group.failedWorkers.has(id));
	if (preferred.length === 0) {
		return chooseBySpeed(group, stepState, {workers: eligible, now, estimates});
	}

	const chosen = chooseBySpeed(group, stepState, {workers: preferred, now, estimates});
	if (chosen !== undefined || preferred.length === fresh.length) {
		return chosen;
	}

	// The preferred workers lack room, so the others are used as well once they are no longer avoided.
	const permitted = fresh.filter(({id}) => (group.failedWorkers.get(id) ?? 0) <= now);
	return permitted.length > preferred.length ? chooseBySpeed(group, stepState, {workers: permitted, now, estimates}) : undefined;
}

function chooseBySpeed(group: TaskGroup, stepState: StepState, options: {workers: readonly Worker[]; now: number; estimates: Estimates}): Worker[] | undefined {
	const {workers, now, estimates} = options;
	const {fast, slow} = splitBySpeed(estimates, workers, now);
	// A step that only slow workers can run is not held back.
	if (fast.length === 0) {
		return chooseAmong(group, stepState, {workers, now});
	}

	return chooseAmong(group, stepState, {workers: fast, now}) ?? (slow.length > 0 ? chooseAmong(group, stepState, {workers: slow, now}) : undefined);
}

function chooseAmong(group: TaskGroup, stepState: StepState, {workers, now}: {workers: readonly Worker[]; now: number}): Worker[] | undefined {
	const {definition: {sameRack, affinity}, tasks: {length}} = group;
	// The first task of a step decides on the rack, which should have room for the others.
	const count = sameRack && stepState.groups.every(({tasks}) => tasks.every(({worker}) => worker === undefined)) ? stepState.remaining * length : length;
	if (sameRack && count > 1) {
		for (const onRack of listRacks(workers, affinity)) {
			const chosen = chooseTogether(group, stepState, {workers: onRack, count, now});
			if (chosen !== undefined) {
				return chosen.slice(0, length);
			}
		}
	}

	return chooseTogether(group, stepState, {workers, count: length, now});
}

/** Groups workers by rack: that of the data first, then those with the least free capacity, so that large gangs find room later. */
function listRacks(workers: readonly Worker[], affinity: string): Worker[][] {
	const racks = new Map<string, {onRack: Worker[]; free: number}>();
	for (const worker of workers) {
		const {rack = '', capacity = worker.used} = worker.listing ?? {};
		const known = racks.get(rack) ?? {onRack: [], free: rack === affinity ? Number.NEGATIVE_INFINITY : 0};
		known.onRack.push(worker);
		known.free += capacity.cpuMillis - worker.used.cpuMillis;
		racks.set(rack, known);
	}

	return [...racks.values()].toSorted((left, right) => left.free - right.free).map(({onRack}) => onRack);
}

function chooseTogether(group: TaskGroup, stepState: StepState, {workers, count, now}: {workers: readonly Worker[]; count: number; now: number}): Worker[] | undefined {
	const chosen: Worker[] = [];
	while (chosen.length < count) {
		const worker = chooseWorker(group, stepState, {workers, taken: chosen, now});
		if (worker === undefined) {
			return undefined;
		}

		chosen.push(worker);
	}

	return chosen;
}

function chooseWorker(group: TaskGroup, stepState: StepState, {workers, taken, now}: {workers: readonly Worker[]; taken: readonly Worker[]; now: number}): Worker | undefined {
	const need = getReservedResources(group.definition);
	const preferredRack = findPreferredRack(group, stepState, taken);
	const countExcess = group.definition.longRunning ? createExcessCounter(stepState, {taken, limit: group.definition.mayMiss + 1}) : () => 0;
	const countCrashed = group.definition.longRunning && group.crashedRuns.size > 0 ? (worker: Worker) => countCrashedTasks(worker, now) : () => 0;
	let best: {worker: Worker; cost: number} | undefined;
	for (const worker of workers) {
		const {listing} = worker;
		if (listing === undefined) {
			continue;
		}

		const free = computeFreeResources(worker, need, taken);
		if (!fitsInto(need, free) || !satisfiesAntiAffinity(group, stepState, {worker, taken})) {
			continue;
		}

		const leftoverFraction = (free.cpuMillis - need.cpuMillis) / Math.max(1, listing.capacity.cpuMillis);
		const isOnOtherRack = preferredRack !== '' && listing.rack !== preferredRack;
		// A leftover fraction is at most 1, so the rack of the data decides before it.
		const cost = (isOnOtherRack ? 2 : 0) + countExcess(worker) + countCrashed(worker) + leftoverFraction;
		if (best === undefined || cost < best.cost) {
			best = {worker, cost};
		}
	}

	return best?.worker;
}

/** Counts for a worker by how many tasks of a step its rack and it itself would exceed a limit with one more task. */
function createExcessCounter({groups}: StepState, options: {taken: readonly Worker[]; limit: number}): (worker: Worker) => number {
	const {taken, limit} = options;
	const countByWorker = new Map<Worker, number>();
	const countByRack = new Map<string, number>();
	for (const worker of [...groups.flatMap(({tasks}) => tasks.map(task => task.worker)), ...taken]) {
		if (worker !== undefined) {
			const rack = worker.listing?.rack ?? '';
			countByWorker.set(worker, (countByWorker.get(worker) ?? 0) + 1);
			countByRack.set(rack, (countByRack.get(rack) ?? 0) + 1);
		}
	}

	return worker => Math.max(0, (countByWorker.get(worker) ?? 0) + 1 - limit) + Math.max(0, (countByRack.get(worker.listing?.rack ?? '') ?? 0) + 1 - limit);
}

/** Counts the tasks of a worker that were lost in a crash before and have not shown since that they cause none. */
function countCrashedTasks({tasks}: Worker, now: number): number {
	let count = 0;
	for (const task of tasks) {
		count += task.group.crashedRuns.size > 0 && !isHarmless(task, now) ? 1 : 0;
	}

	return count;
}

/** Free resources of a worker, less those of tasks of the same gang that have been placed there already. */
function computeFreeResources(worker: Worker, need: Resources, taken: readonly Worker[]): Resources {
	const free = addResources(worker.listing?.capacity ?? worker.used, worker.used, -1);
	return addResources(free, need, -taken.filter(other => other === worker).length);
}
