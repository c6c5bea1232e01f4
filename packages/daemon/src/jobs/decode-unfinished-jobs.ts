import {type Job, type Progress, progressSchema} from '@rosemaryquay/core/jobs/state/job-schema';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {type JobPart, progressPrefix} from './keys.js';
import {parseJob} from './parse-job.js';
import {parseJobKey} from './parse-job-key.js';
import {parseStoredValue} from './parse-stored-value.js';

/** An unfinished job; a cancelled job is included until its end is stored. */
export type UnfinishedJob = {
	readonly job: Job;
	readonly progress: Progress | undefined;
	readonly cancelled: boolean;
	/** Store revision of its acceptance; undefined if it is not known. */
	readonly acceptedRevision?: number | undefined;
};

/**
 * Groups stored entries into unfinished jobs and leaves out those that cannot be parsed.
 *
 * @param entries - the entries of the parts of jobs and of their progress
 * @returns the jobs
 * @example
 * decodeUnfinishedJobs([...jobs.entries, ...progress.entries]);
 */
export function decodeUnfinishedJobs(entries: readonly Entry[]): UnfinishedJob[] {
	const parts = new Map<string, Partial<Record<JobPart, string>>>();
	const progressById = new Map<string, string>();
	const acceptedRevisions = new Map<string, number>();
	for (const {key, value, modRevision} of entries) {
		if (key.startsWith(progressPrefix)) {
			progressById.set(key.slice(progressPrefix.length), value);
			continue;
		}

		const location = parseJobKey(key);
		if (location !== undefined) {
			parts.set(location.id, {...parts.get(location.id), [location.part]: value});
			if (location.part === 'accepted') {
				acceptedRevisions.set(location.id, modRevision);
			}
		}
	}

	const jobs: UnfinishedJob[] = [];
	for (const [id, {accepted, cancelled}] of parts) {
		const progress = progressById.get(id);
		const job = accepted === undefined ? undefined : parseJob(accepted);
		if (job !== undefined) {
			jobs.push({
				job, progress: progress === undefined ? undefined : parseStoredValue(progressSchema, progress), cancelled: cancelled !== undefined, acceptedRevision: acceptedRevisions.get(id),
			});
		}
	}

	return jobs;
}
