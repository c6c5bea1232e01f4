import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {type ReducerContext} from '@rosemaryquay/core/jobs/state/reducer-context';
import {type StoredJob} from './stored-schedule.js';

/**
 * Adds the stored jobs that have not ended to the schedule of a new owner.
 *
 * @param context - the reducer context of the new owner; its state is changed
 * @param storedJobs - the stored jobs
 * @example
 * recoverJobs(context, store.jobs.values());
 */
export function recoverJobs(context: ReducerContext, storedJobs: Iterable<StoredJob>): void {
	for (const {job, progress, end, isCancelled} of storedJobs) {
		if (end === undefined) {
			addJob(context, job, {progress: progress === undefined ? undefined : structuredClone(progress), cancelled: isCancelled, recovered: true});
		}
	}
}
