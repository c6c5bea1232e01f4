import {type Scheduler, type TaskGroup} from '../state/scheduler.js';
import {addSample} from './add-sample.js';
import {computeMedian} from './compute-median.js';
import {getStepRunTimes} from './get-step-run-times.js';
import {learnSample} from './learn-sample.js';
import {predictStep} from './predict-step.js';

/** Fraction of the tasks of a step that must have ended before it is a sample. The median is then known, and the slowest tasks, which may take several times as long, are not waited for. */
const sampledFraction = 0.6;

/**
 * Learns from a step once enough of its tasks have ended: its median run time, the error of the caller's estimate, and how
 * much this error differs from that of earlier steps of the job. A step is one sample, whatever its number of tasks.
 *
 * @param scheduler - the state; changed
 * @param group - a task group of the step
 * @param now - local time in milliseconds
 * @example
 * learnStep(scheduler, group, now);
 */
export function learnStep(scheduler: Scheduler, group: TaskGroup, now: number): void {
	const {job, step, definition} = group;
	const {estimates} = scheduler;
	const runTimes = getStepRunTimes(job, step);
	if (runTimes.isLearned || runTimes.ended.length < definition.count * sampledFraction || estimates.maximumSketches === 0) {
		return;
	}

	runTimes.isLearned = true;
	const value = computeStepMedian(group, now);
	const {names} = runTimes;
	const predicted = predictStep(scheduler, job, step)?.mean ?? Math.log(Math.max(1, definition.estimatedMs));
	addSample(estimates.errors, Math.abs(predicted - value));
	if (definition.estimatedMs > 0) {
		const error = Math.log(definition.estimatedMs) - value;
		addSample(estimates.callerErrors, Math.abs(error));
		const others = job.runTimes.map(other => other?.error).filter(other => other !== undefined);
		if (others.length > 0) {
			learnSample(estimates, names.differences, error - computeMedian(others));
		}

		runTimes.error = error;
		learnSample(estimates, names.errors, error);
	}

	learnSample(estimates, names.position, value);
	if (names.image !== undefined) {
		learnSample(estimates, names.image, value);
	}
}

/** Median over the ended tasks and those that have been running for longer than most of them. */
function computeStepMedian({job, step, occurrence}: TaskGroup, now: number): number {
	const values = getStepRunTimes(job, step).ended.map(ended => ended.value);
	const medianOfEnded = computeMedian(values);
	for (const {tasks} of job.occurrences.get(occurrence)?.[step]?.groups ?? []) {
		for (const {state, measurement} of tasks) {
			const elapsed = state === 'running' && measurement !== undefined ? Math.log(Math.max(1, now - measurement.startedAt)) : 0;
			if (elapsed > medianOfEnded) {
				values.push(elapsed);
			}
		}
	}

	return computeMedian(values);
}
