import {createActiveJob} from './create-active-job.js';
import {type Job, type Progress} from './job-schema.js';
import {openOccurrences} from './open-occurrences.js';
import {type ReducerContext} from './reducer-context.js';
import {restoreProgress} from './restore-progress.js';

/**
 * Adds a job that is stored as accepted. A job that is known already, or that has ended, is left unchanged.
 *
 * @param context - the reducer context; its state is changed
 * @param job - the job
 * @param options - stored progress, whether a former owner may have started tasks, and whether the job is cancelled
 * @example
 * addJob(context, job);
 */
export function addJob(context: ReducerContext, job: Job, options: {progress?: Progress | undefined; recovered?: boolean; cancelled?: boolean} = {}): void {
	const {progress, recovered = false, cancelled = false} = options;
	const {scheduler, now, timeOfDay} = context;
	if (scheduler.jobs.has(job.id) || scheduler.endedJobs.has(job.id)) {
		return;
	}

	const ageMs = Math.max(0, timeOfDay - job.acceptedAtMs);
	const active = createActiveJob(job, {acceptedAt: now - ageMs, recovered});
	active.cancelled = cancelled;
	scheduler.jobs.set(job.id, active);
	openOccurrences(context, active);
	if (progress !== undefined) {
		restoreProgress(context, active, progress);
	}

	if (cancelled) {
		scheduler.dirtyJobs.add(active);
	}
}
