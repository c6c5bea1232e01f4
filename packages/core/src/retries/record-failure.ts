import {
	ejectionFailureRate, maximumRememberedFailures, parkingFailures, parkingDurationMs, parkingWindowMs, parkingWorkers,
} from '../constants.js';
import {evictOldest} from '../evict-oldest.js';
import {type Node, type Task} from '../node/node.js';
import {type JobFailures} from './retries.js';

function getOrCreateFailures(node: Node, key: string, at: number): JobFailures {
	const {failures} = node.retries;
	const known = failures.get(key);
	if (known !== undefined && at - known.windowStartedAt <= parkingWindowMs) {
		return known;
	}

	const created: JobFailures = {windowStartedAt: at, count: 0, workers: new Set()};
	failures.delete(key);
	failures.set(key, created);
	if (failures.size > maximumRememberedFailures) {
		evictOldest(failures);
	}

	return created;
}

/**
 * Records that a job failed on a worker. Parks the job after `parkingFailures` failures on at least `parkingWorkers`
 * workers, or on all workers of a smaller pool, within `parkingWindowMs`. Failures on workers that fail most of their tasks say
 * nothing about the job and are not counted.
 *
 * @param node - the node, updated in place
 * @param task - the task that failed
 * @param workerId - the worker it failed on
 * @param at - now, in milliseconds
 * @returns whether the job is parked from now on
 * @example
 * const parked = recordFailure(node, task, 'w-1', at);
 */
export function recordFailure(node: Node, task: Task, workerId: string, at: number): boolean {
	const worker = node.placement.workers.get(workerId);
	if (task.fingerprint === undefined || worker === undefined || worker.failureRate >= ejectionFailureRate) {
		return false;
	}

	const failures = getOrCreateFailures(node, `${task.queue}/${task.fingerprint}`, at);
	failures.count += 1;
	failures.workers.add(workerId);
	const poolSize = node.placement.byPool.get(task.pool)?.length ?? 0;
	const isThresholdReached = failures.count >= parkingFailures && failures.workers.size >= Math.min(parkingWorkers, poolSize);
	if (failures.parkedUntil !== undefined || !isThresholdReached) {
		return false;
	}

	failures.parkedUntil = at + parkingDurationMs;
	return true;
}
