import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {combineEvidence, type Evidence} from './combine-evidence.js';
import {computeMedian} from './compute-median.js';
import {type Sketch} from './estimates.js';
import {getStepRunTimes} from './get-step-run-times.js';

/** Weight of an assumed variance beside learned samples, as a number of samples. */
const assumptionWeight = 2;

/** Assumed standard deviation, between queues, of the bias that all estimates of a queue share, in log space. */
const assumedBiasSpread = 0.5;

/** Assumed standard deviation of the errors of callers' estimates, in log space; about 1 in 20 is off by more than a factor of 2.5. */
const assumedErrorSpread = 0.5;

/** Assumed standard deviation of the run times of a key with few samples, in log space; wide, so that the caller's estimate prevails. */
const assumedRunTimeSpread = 1;

/** Assumed standard deviation of the difference between the errors of two steps of a job, in log space. */
const assumedDifferenceSpread = 0.3;

/** Lowest variance of learned quantities, in log space; a handful of equal samples proves no more than this. */
const minimumVariance = 0.01;

/** Samples of an image from which its run times are used rather than those of the position in the queue. */
const minimumImageSamples = 4;

/**
 * Predicts the run time of the tasks of a step from what was learned of other steps: the run times of its image or of its
 * position in the queue, and the caller's estimate corrected by the errors learned for the queue and for earlier steps of
 * the job.
 *
 * @param scheduler - the state
 * @param job - the job
 * @param step - position of the step
 * @returns logarithm of the run time in milliseconds, with its variance; undefined when nothing was learned
 * @example
 * predictStep(scheduler, job, 0);
 */
export function predictStep({estimates}: Scheduler, job: ActiveJob, step: number): Evidence | undefined {
	const {sketches} = estimates;
	const {names} = getStepRunTimes(job, step);
	const estimatedMs = job.definition.steps[step]?.estimatedMs ?? 0;
	const ofImage = names.image === undefined ? undefined : sketches.get(names.image);
	const runTimes = ofImage !== undefined && ofImage.values.length >= minimumImageSamples ? ofImage : sketches.get(names.position);
	const errors = sketches.get(names.errors);
	const jobErrors = listErrors(job, step);
	if (runTimes === undefined && errors === undefined && jobErrors.length === 0) {
		return undefined;
	}

	const parts: Evidence[] = [];
	if (runTimes !== undefined) {
		parts.push({mean: runTimes.median, variance: mixVariance(runTimes, assumedRunTimeSpread)});
	}

	if (estimatedMs > 0) {
		const error = combineError({errors, differences: sketches.get(names.differences), jobErrors});
		parts.push({mean: Math.log(estimatedMs) - error.mean, variance: error.variance});
	}

	return combineEvidence(parts);
}

/** Errors of the caller's estimates for other steps of the job. */
function listErrors({runTimes}: ActiveJob, step: number): number[] {
	const errors: number[] = [];
	for (const [position, other] of runTimes.entries()) {
		if (position !== step && other?.error !== undefined) {
			errors.push(other.error);
		}
	}

	return errors;
}

/** Expected error of the caller's estimate: that of the queue, and that of the steps of the same job, which share most of it. */
function combineError({errors, differences, jobErrors}: {errors: Sketch | undefined; differences: Sketch | undefined; jobErrors: readonly number[]}): Evidence {
	const count = errors?.values.length ?? 0;
	const variance = mixVariance(errors, assumedErrorSpread);
	// The median of few scattered errors is shrunk towards no bias.
	const reliability = count === 0 ? 0 : (assumedBiasSpread ** 2) / ((assumedBiasSpread ** 2) + (variance / count));
	const ofQueue: Evidence = {mean: (errors?.median ?? 0) * reliability, variance};
	if (jobErrors.length === 0) {
		return ofQueue;
	}

	return combineEvidence([ofQueue, {mean: computeMedian(jobErrors), variance: mixVariance(differences, assumedDifferenceSpread)}]) ?? ofQueue;
}

function mixVariance(sketch: Sketch | undefined, assumedSpread: number): number {
	const count = sketch?.values.length ?? 0;
	const spread = sketch?.spread ?? 0;
	return Math.max(minimumVariance, ((count * (spread ** 2)) + (assumptionWeight * (assumedSpread ** 2))) / (count + assumptionWeight));
}
