import {type Job} from '../state/job-schema.js';

/** Names of the sketches that a step learns from and adds to. */
export type SketchNames = {
	/** Run times of its image; undefined if the step names none. */
	readonly image: string | undefined;
	/** Run times of the steps at its position in jobs of its queue. */
	readonly position: string;
	/** Errors of the callers' estimates for its queue. */
	readonly errors: string;
	/** Differences between the errors of the steps of one job, for its queue. */
	readonly differences: string;
};

/**
 * Names the sketches of a step.
 *
 * @param job - the job
 * @param step - position of the step
 * @returns the names
 * @example
 * nameSketches(job, 0).position; // 'p plans 0'
 */
export function nameSketches(job: Job, step: number): SketchNames {
	const {image = ''} = job.steps[step] ?? {};
	return {
		image: image === '' ? undefined : `i ${image}`, position: `p ${job.queue} ${step}`, errors: `e ${job.queue}`, differences: `d ${job.queue}`,
	};
}
