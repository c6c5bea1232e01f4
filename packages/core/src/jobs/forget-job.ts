import {type Pass} from './pass.js';
import {type ActiveJob} from './scheduler.js';

/**
 * Removes a job whose end is stored from the memory. While tasks of it are still being stopped it stays, and the next
 * look at all jobs tries again; a report that shows a task of a forgotten job stops it as well.
 *
 * @param pass - the pass; its state is changed
 * @param job - the job
 * @example
 * forgetJob(pass, job);
 */
export function forgetJob({scheduler, now}: Pass, job: ActiveJob): void {
	const units = [...job.occurrences.values()].flat().flatMap(step => step.units);
	if (units.some(({members}) => members.some(({state}) => state !== 'idle'))) {
		scheduler.endingJobs.add(job);
		return;
	}

	for (const {members} of units) {
		for (const {task} of members) {
			scheduler.members.delete(task);
		}
	}

	scheduler.endingJobs.delete(job);
	scheduler.jobs.delete(job.job.id);
	scheduler.endedJobs.set(job.job.id, now);
}
