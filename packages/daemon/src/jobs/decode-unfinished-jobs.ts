import {type Job, type Progress, progressSchema} from '@rosemaryquay/core/jobs/job-schema';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {type JobPart} from './keys.js';
import {parseJob} from './parse-job.js';
import {parseJobKey} from './parse-job-key.js';
import {parseStoredValue} from './parse-stored-value.js';

/** An unfinished job; a cancelled job is included until its end is stored. */
export type UnfinishedJob = {
	readonly job: Job;
	readonly progress: Progress | undefined;
	readonly cancelled: boolean;
};

/**
 * Groups stored entries into unfinished jobs and leaves out those that cannot be parsed.
 *
 * @param entries - all entries below the prefix of jobs, or below that of one job
 * @returns the jobs
 * @example
 * decodeUnfinishedJobs(listing.entries);
 */
export function decodeUnfinishedJobs(entries: readonly Entry[]): UnfinishedJob[] {
	const parts = new Map<string, Partial<Record<JobPart, string>>>();
	for (const {key, value} of entries) {
		const location = parseJobKey(key);
		if (location !== undefined) {
			parts.set(location.id, {...parts.get(location.id), [location.part]: value});
		}
	}

	const jobs: UnfinishedJob[] = [];
	for (const {accepted, cancelled, progress} of parts.values()) {
		const job = accepted === undefined ? undefined : parseJob(accepted);
		if (job !== undefined) {
			jobs.push({job, progress: progress === undefined ? undefined : parseStoredValue(progressSchema, progress), cancelled: cancelled !== undefined});
		}
	}

	return jobs;
}
