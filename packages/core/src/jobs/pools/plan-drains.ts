import {isUpkeepInProgress} from '../waves/is-upkeep-in-progress.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {
	type PoolLoad, type Scheduler, type Task, type Worker,
} from '../state/scheduler.js';
import {estimateDuration} from '../estimates/estimate-duration.js';
import {measureTimelyNeed} from './measure-timely-need.js';
import {judgeOccupancy} from './judge-occupancy.js';
import {groupWorkersByInstance} from './group-workers-by-instance.js';
import {uncordonWorkers} from './uncordon-workers.js';

/** Longest time that a worker is drained for another pool. Its tasks are expected to end sooner; otherwise their estimates were wrong. */
const drainTimeoutMs = 4000;

/**
 * Plans which workers are drained so that their instances can move to another pool: workers on which only late jobs run,
 * in pools whose timely jobs do not need them, for pools whose timely jobs do. Answers bursts that exceed one pool after
 * another: without it, a pool keeps its instances for the late jobs of its burst while the jobs of the next one become late.
 *
 * @param context - the reducer context; its state is changed
 * @param options - load of the pools by name, the timely need that each pool still lacks in thousandths of a core, and whether a worker may leave its pool
 * @returns instances that are drained and may move now, with their new pools
 * @example
 * planDrains(context, {pools, shortages, isMovable});
 */
export function planDrains(context: ReducerContext, options: {pools: ReadonlyMap<string, PoolLoad>; shortages: ReadonlyMap<string, number>; isMovable: (worker: Worker) => boolean}): Array<{instance: string; pool: string}> {
	const {scheduler, now} = context;
	const {pools, shortages, isMovable} = options;
	const drained: Array<{instance: string; pool: string}> = [];
	const remaining = new Map(shortages);
	const workersByInstance = groupWorkersByInstance(scheduler, now);
	for (const {instance, pool, startedAt} of scheduler.drains.values()) {
		const workers = workersByInstance.get(instance) ?? [];
		const shortage = remaining.get(pool) ?? 0;
		if (workers.length === 0 || shortage <= 0 || now - startedAt > drainTimeoutMs || isUpkeepInProgress(scheduler, instance)) {
			scheduler.drains.delete(instance);
			uncordonWorkers(scheduler, instance);
			continue;
		}

		remaining.set(pool, shortage - (workers[0]?.listing?.capacity.cpuMillis ?? 0));
		if (judgeOccupancy(workers, now) === 'empty') {
			scheduler.drains.delete(instance);
			drained.push({instance, pool});
		}
	}

	for (const [pool, shortage] of remaining) {
		startDrains(context, {
			pool, shortage, candidates: listCandidates(context, {pools, shortages, isMovable}),
		});
	}

	return drained;
}

function startDrains({scheduler, now}: ReducerContext, options: {pool: string; shortage: number; candidates: readonly Worker[]}): void {
	const {pool, candidates} = options;
	let {shortage} = options;
	for (const worker of candidates) {
		if (shortage <= 0) {
			return;
		}

		const instance = worker.listing?.instance ?? '';
		worker.cordoned = true;
		scheduler.drains.set(instance, {instance, pool, startedAt: now});
		shortage -= worker.listing?.capacity.cpuMillis ?? 0;
	}
}

/** Workers that may be drained, those that are empty soonest first. A pool keeps what its timely jobs need. */
function listCandidates({scheduler}: ReducerContext, options: {pools: ReadonlyMap<string, PoolLoad>; shortages: ReadonlyMap<string, number>; isMovable: (worker: Worker) => boolean}): Worker[] {
	const {pools, shortages, isMovable} = options;
	const candidates: Array<{worker: Worker; remainingMs: number}> = [];
	for (const pool of pools.values()) {
		if ((shortages.get(pool.name) ?? 0) > 0 || pool.unmetLongRunningNeeds > 0) {
			continue;
		}

		let excess = pool.capacity - measureTimelyNeed(pool);
		const movable = pool.workers
			.filter(worker => !worker.cordoned && worker.acknowledgedOwner && isMovable(worker) && [...worker.tasks].every(task => isLate(pool, task)))
			.map(worker => ({worker, remainingMs: estimateRemainingTime(scheduler, worker)}))
			.toSorted((left, right) => left.remainingMs - right.remainingMs);
		for (const candidate of movable) {
			excess -= candidate.worker.listing?.capacity.cpuMillis ?? 0;
			if (excess < 0) {
				break;
			}

			candidates.push(candidate);
		}
	}

	return candidates.toSorted((left, right) => left.remainingMs - right.remainingMs).map(({worker}) => worker);
}

function isLate({lateJobs}: PoolLoad, {group}: Task): boolean {
	return lateJobs.has(group.job);
}

/** Estimates the time in milliseconds until all tasks of a worker have ended. */
function estimateRemainingTime(scheduler: Scheduler, {tasks}: Worker): number {
	let remainingMs = 0;
	for (const {percent, group} of tasks) {
		remainingMs = Math.max(remainingMs, estimateDuration(scheduler, group.job, group.step) * (1 - (percent / 100)));
	}

	return remainingMs;
}
