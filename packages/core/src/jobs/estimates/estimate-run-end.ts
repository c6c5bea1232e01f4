import {type Scheduler, type Task, type Worker} from '../state/scheduler.js';
import {estimateDuration} from './estimate-duration.js';
import {estimateFarRatio} from './estimate-far-ratio.js';
import {isNearData} from './is-near-data.js';

/** Progress from which a run's own speed is used instead of the estimate of its step. */
const projectionPercent = 20;

/** Remaining time of a run that should have ended, by its elapsed time: the longer a run is overdue, the more likely it is one of the long ones. */
const overdueFraction = 0.25;

/**
 * Estimates when a run will end and free its resources.
 *
 * @param scheduler - the state; the cache of estimates may change
 * @param task - the task
 * @param options - its worker, and local time in milliseconds
 * @returns local time in milliseconds; infinity for a long-running task
 * @example
 * estimateRunEnd(scheduler, task, {worker, now});
 */
export function estimateRunEnd(scheduler: Scheduler, task: Task, options: {worker: Worker; now: number}): number {
	const {worker, now} = options;
	const {group, state, percent, lastOrderAt} = task;
	if (state === 'stopping') {
		return now + scheduler.stopMs;
	}

	if (group.definition.longRunning) {
		return Number.POSITIVE_INFINITY;
	}

	const nearMs = estimateDuration(scheduler, group.job, group.step);
	const expectedMs = isNearData(task, worker) ? nearMs : nearMs * estimateFarRatio(scheduler.estimates);
	// A former owner ordered the run, so that its start is not known.
	if (lastOrderAt === 0) {
		return now + (expectedMs * (100 - percent) / 100);
	}

	const elapsedMs = now - lastOrderAt;
	const totalMs = percent >= projectionPercent ? Math.max(0, worker.reportAnsweredAt - lastOrderAt) * 100 / percent : expectedMs;
	return now + Math.max(totalMs - elapsedMs, elapsedMs * overdueFraction);
}
