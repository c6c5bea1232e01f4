import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {combineEvidence} from './combine-evidence.js';
import {getStepRunTimes} from './get-step-run-times.js';
import {measureStep} from './measure-step.js';
import {type SketchNames} from './name-sketches.js';
import {predictStep} from './predict-step.js';

/** Assumed variance of the error of a caller's estimate, in log space, while nothing was learned of the queue. */
const callerVariance = 0.25;

/**
 * Estimates how long a task of a step runs. Every decision that depends on run times uses this estimate, not the one that
 * the caller sent with the job. Where nothing was learned, it is the caller's. It is cached until something that it
 * depends on has changed.
 *
 * @param scheduler - the state
 * @param job - the job; its cache is changed
 * @param step - position of the step in the job
 * @returns milliseconds
 * @example
 * estimateDuration(scheduler, job, 0);
 */
export function estimateDuration(scheduler: Scheduler, job: ActiveJob, step: number): number {
	const definition = job.definition.steps[step];
	if (definition === undefined || definition.longRunning || scheduler.estimates.maximumSketches === 0) {
		return definition?.estimatedMs ?? 0;
	}

	const {version} = scheduler.estimates;
	const runTimes = getStepRunTimes(job, step);
	if (runTimes.estimate?.checkedAtVersion === version) {
		return runTimes.estimate.value;
	}

	const stamp = computeStamp(scheduler, runTimes.names);
	if (runTimes.estimate?.stamp === stamp) {
		runTimes.estimate.checkedAtVersion = version;
		return runTimes.estimate.value;
	}

	const predicted = predictStep(scheduler, job, step);
	const measured = measureStep(runTimes);
	const caller = predicted === undefined && measured !== undefined && definition.estimatedMs > 0 ? {mean: Math.log(definition.estimatedMs), variance: callerVariance} : undefined;
	const combined = combineEvidence([predicted, measured, caller].filter(part => part !== undefined));
	const value = combined === undefined ? definition.estimatedMs : Math.exp(combined.mean);
	runTimes.estimate = {value, stamp, checkedAtVersion: version};
	return value;
}

/** Changes with each sketch that the estimate depends on. */
function computeStamp({estimates: {sketches}}: Scheduler, {image, position, errors, differences}: SketchNames): number {
	const ofImage = image === undefined ? 0 : sketches.get(image)?.version ?? 0;
	return ofImage + (sketches.get(position)?.version ?? 0) + (sketches.get(errors)?.version ?? 0) + (sketches.get(differences)?.version ?? 0);
}
