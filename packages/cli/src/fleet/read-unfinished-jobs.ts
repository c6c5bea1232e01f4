import {decodeUnfinishedJobs, type UnfinishedJob} from '@rosemaryquay/daemon/jobs/decode-unfinished-jobs';
import {jobsPrefix} from '@rosemaryquay/daemon/jobs/keys';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {type ReadResult} from './read-schedule-state.js';

/**
 * Reads the jobs that have not ended from the store.
 *
 * @param platform - the platform
 * @returns the jobs, or why they could not be read
 * @example
 * const jobs = await readUnfinishedJobs(platform);
 */
export async function readUnfinishedJobs(platform: Platform): Promise<ReadResult<readonly UnfinishedJob[]>> {
	const listing = await platform.store.list(jobsPrefix);
	return listing.ok
		? {ok: true, value: decodeUnfinishedJobs(listing.value.entries)}
		: {ok: false, detail: listing.detail ?? listing.reason};
}
