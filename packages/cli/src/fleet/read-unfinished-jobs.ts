import {type Entry} from '@rosemaryquay/core/store/transaction';
import {decodeUnfinishedJobs, type UnfinishedJob} from '@rosemaryquay/daemon/jobs/decode-unfinished-jobs';
import {jobsPrefix, progressPrefix} from '@rosemaryquay/daemon/jobs/keys';
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
	const listings = await Promise.all([jobsPrefix, progressPrefix].map(async prefix => platform.store.list(prefix)));
	const entries: Entry[] = [];
	for (const listing of listings) {
		if (!listing.ok) {
			return {ok: false, detail: listing.detail ?? listing.reason};
		}

		entries.push(...listing.value.entries);
	}

	return {ok: true, value: decodeUnfinishedJobs(entries)};
}
