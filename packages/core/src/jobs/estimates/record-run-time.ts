import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {discardCachedEstimates} from './discard-cached-estimates.js';
import {getStepRunTimes} from './get-step-run-times.js';
import {isNearData} from './is-near-data.js';
import {learnStep} from './learn-step.js';
import {recordFarRun} from './record-far-run.js';

/** Run times that are kept of a step; bounds the memory of large steps and of jobs with many occurrences. */
const maximumRunTimes = 64;

/** Largest uncertainty of the time of an end, by the length of its run; the tasks of a step differ by more. */
const maximumUncertainty = 0.15;

/**
 * Records the run time of a task that is done, unless it is unknown, uncertain, or distorted by a slow worker. Far from its
 * data, it is compared with those near the data only. Must be called while the task is still assigned.
 *
 * @param context - the reducer context; its state is changed
 * @param task - the task
 * @param options - its worker, whether the worker is known to be slow, and how long before now the run may have ended, in milliseconds
 * @example
 * recordRunTime(context, task, {worker, isSlow: false, uncertaintyMs: 0});
 */
export function recordRunTime(context: ReducerContext, task: Task, options: {worker: Worker; isSlow: boolean; uncertaintyMs: number}): void {
	const {scheduler, now} = context;
	const {worker, isSlow, uncertaintyMs} = options;
	const {measurement, group} = task;
	const runTimes = getStepRunTimes(group.job, group.step);
	runTimes.projected.delete(task);
	if (measurement === undefined || task.state === 'stopping' || isSlow) {
		return;
	}

	const elapsedMs = now - measurement.startedAt;
	if (elapsedMs <= 0 || uncertaintyMs > elapsedMs * maximumUncertainty) {
		return;
	}

	const value = Math.log(elapsedMs - (uncertaintyMs / 2));
	if (!isNearData(task, worker)) {
		recordFarRun(scheduler, task, value);
		return;
	}

	runTimes.ended.push({worker: worker.id, value});
	if (runTimes.ended.length > maximumRunTimes) {
		runTimes.ended.shift();
	}

	learnStep(scheduler, group, now);
	discardCachedEstimates(group.job);
}
