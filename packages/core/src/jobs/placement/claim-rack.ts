import {estimateDuration} from '../estimates/estimate-duration.js';
import {
	type Scheduler, type StepState, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {addResources} from './add-resources.js';
import {findEarliestRoom} from './find-earliest-room.js';
import {getReservedResources} from './get-reserved-resources.js';
import {type Change, type RackForecast, type WorkerForecast} from './rack-forecast.js';
import {satisfiesAntiAffinity} from './satisfies-anti-affinity.js';

type Claim = {readonly target: WorkerForecast; readonly from: Change};

/**
 * Claims room on a rack for all tasks of a group, if it is expected to be free in time. Claims of earlier groups count as
 * tasks, so that the expected wait of later ones is longer.
 *
 * @param scheduler - the state
 * @param group - the task group
 * @param options - its step, the forecast of the rack, which is changed, and the latest local time in milliseconds
 * @returns true if there is room for all tasks by then
 * @example
 * claimRack(scheduler, group, {step, forecast, latestAt: now + 300});
 */
export function claimRack(scheduler: Scheduler, group: TaskGroup, options: {step: StepState; forecast: RackForecast; latestAt: number}): boolean {
	const {step, forecast, latestAt} = options;
	const need = getReservedResources(group.definition);
	const durationMs = estimateDuration(scheduler, group.job, group.step);
	const claims: Claim[] = [];
	const taken: Worker[] = [];
	let startsAt = Number.NEGATIVE_INFINITY;
	while (taken.length < group.tasks.length) {
		const best = findBest(group, {step, forecast, taken});
		if (best === undefined || best.at > latestAt) {
			for (const {target, from} of claims) {
				target.changes.splice(target.changes.indexOf(from), 1);
				target.room = undefined;
			}

			return false;
		}

		const {worker, target, at} = best;
		const from = {at, resources: addResources({cpuMillis: 0, memoryMb: 0, accelerators: 0}, need, -1)};
		insertChange(target, from);
		claims.push({target, from});
		taken.push(worker);
		startsAt = Math.max(startsAt, at);
	}

	// The tasks of a gang run at the same time, so that none of them frees room for another.
	for (const {target} of claims) {
		insertChange(target, {at: startsAt + durationMs, resources: need});
	}

	return true;
}

function findBest(group: TaskGroup, options: {step: StepState; forecast: RackForecast; taken: readonly Worker[]}): {worker: Worker; target: WorkerForecast; at: number} | undefined {
	const {step, forecast, taken} = options;
	const {requirement} = group.definition;
	const need = getReservedResources(group.definition);
	let best: {worker: Worker; target: WorkerForecast; at: number} | undefined;
	for (const [worker, target] of forecast) {
		if ((requirement !== '' && !worker.listing?.labels.includes(requirement)) || group.failedWorkers.has(worker.id) || !satisfiesAntiAffinity(group, step, {worker, taken})) {
			continue;
		}

		const at = findEarliestRoom(target, need);
		if (best === undefined || at < best.at) {
			best = {worker, target, at};
		}
	}

	return best;
}

/** Inserts a change behind those of the same time, so that room precedes the claims on it. */
function insertChange(target: WorkerForecast, change: Change): void {
	const {changes} = target;
	const position = changes.findIndex(({at}) => at > change.at);
	changes.splice(position === -1 ? changes.length : position, 0, change);
	target.room = undefined;
}
