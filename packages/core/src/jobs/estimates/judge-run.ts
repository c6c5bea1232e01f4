import {type Scheduler, type Task} from '../state/scheduler.js';
import {computeInterval, minimumIntervalMs} from './compute-interval.js';
import {findPeerRunTime} from './find-peer-run-time.js';
import {getStepRunTimes} from './get-step-run-times.js';

/** Fraction of its work that a run must have done before its run time is projected. */
const projectionPercent = 20;

/** Largest part of the work that may be done before the last interval of an ended run, for it to be judged. */
const lastIntervalPercent = 70;

/**
 * Compares the progress of a run since it was last judged with that of its peers.
 *
 * @param scheduler - the state; the run time of the step that the run projects is changed
 * @param task - the task; its measurement is changed
 * @param options - local time in milliseconds, whether the run is done, and whether its worker is known to be slow
 * @returns ratios of its run time to that of its peers (`ratio`) and to what was learned of other steps (`drift`), in log space; undefined while it can't be judged
 * @example
 * judgeRun(scheduler, task, {now, isDone: false, isSlow: false});
 */
export function judgeRun(scheduler: Scheduler, task: Task, options: {now: number; isDone: boolean; isSlow: boolean}): {readonly ratio: number; readonly drift: number | undefined} | undefined {
	const {now, isDone, isSlow} = options;
	const {measurement, state} = task;
	if (measurement === undefined || state !== 'running' || (!isDone && (task.percent >= 100 || now - measurement.anchorAt < minimumIntervalMs))) {
		return undefined;
	}

	const reference = findPeerRunTime(scheduler, task);
	const percent = isDone ? 100 : task.percent;
	if (!isDone && !isSlow && percent >= projectionPercent) {
		getStepRunTimes(task.group.job, task.group.step).projected.set(task, Math.log(Math.max(1, now - measurement.startedAt) * 100 / percent));
	}

	if (reference === undefined) {
		return undefined;
	}

	const {expected, predicted} = reference;

	const elapsedMs = now - measurement.anchorAt;
	const isMeasurable = isDone ? measurement.anchorPercent <= lastIntervalPercent : elapsedMs >= computeInterval(expected);
	if (!isMeasurable) {
		return undefined;
	}

	// Progress below one percent is not visible.
	const progress = Math.max(1, percent - measurement.anchorPercent) / 100;
	measurement.anchorAt = now;
	measurement.anchorPercent = percent;
	const runTime = Math.log(Math.max(1, elapsedMs)) - Math.log(progress);
	return {ratio: runTime - expected, drift: predicted === undefined ? undefined : runTime - predicted};
}
