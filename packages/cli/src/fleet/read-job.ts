import {createEndedJobKey} from '@rosemaryquay/daemon/jobs/create-ended-job-key';
import {createJobPrefix} from '@rosemaryquay/daemon/jobs/create-job-prefix';
import {createProgressKey} from '@rosemaryquay/daemon/jobs/create-progress-key';
import {decodeUnfinishedJobs} from '@rosemaryquay/daemon/jobs/decode-unfinished-jobs';
import {parseEndedJob} from '@rosemaryquay/daemon/jobs/parse-ended-job';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {type JobRecord} from './describe-wait.js';
import {type ReadResult} from './read-schedule-state.js';

/**
 * Reads a job from the store, whether it has ended or not.
 *
 * @param platform - the platform
 * @param id - identifier of the job
 * @returns the job, undefined when there is none, or why it could not be read
 * @example
 * const job = await readJob(platform, '00000000000000a1');
 */
export async function readJob(platform: Platform, id: string): Promise<ReadResult<JobRecord | undefined>> {
	const [listing, progress] = await Promise.all([createJobPrefix(id), createProgressKey(id)].map(async prefix => platform.store.list(prefix)));
	if (!listing?.ok) {
		return {ok: false, detail: listing?.detail ?? listing?.reason ?? ''};
	}

	const [unfinishedJob] = decodeUnfinishedJobs([...listing.value.entries, ...progress?.ok ? progress.value.entries : []]);
	if (unfinishedJob !== undefined) {
		return {ok: true, value: unfinishedJob};
	}

	const key = createEndedJobKey(id);
	const endedListing = await platform.store.list(key);
	if (!endedListing.ok) {
		return {ok: false, detail: endedListing.detail ?? endedListing.reason};
	}

	const entry = endedListing.value.entries.find(candidate => candidate.key === key);
	const ended = entry === undefined ? undefined : parseEndedJob(entry.value);
	return {ok: true, value: ended === undefined ? undefined : {id, ...ended}};
}
