import {jobEndSchema} from '@rosemaryquay/core/jobs/job-schema';
import {createJobPrefix} from '@rosemaryquay/daemon/jobs/create-job-prefix';
import {decodeUnfinishedJobs} from '@rosemaryquay/daemon/jobs/decode-unfinished-jobs';
import {parseJob} from '@rosemaryquay/daemon/jobs/parse-job';
import {parseJobKey} from '@rosemaryquay/daemon/jobs/parse-job-key';
import {parseStoredValue} from '@rosemaryquay/daemon/jobs/parse-stored-value';
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
	const listing = await platform.store.list(createJobPrefix(id));
	if (!listing.ok) {
		return {ok: false, detail: listing.detail ?? listing.reason};
	}

	const {entries} = listing.value;
	const [unfinishedJob] = decodeUnfinishedJobs(entries);
	if (unfinishedJob !== undefined) {
		return {ok: true, value: {...unfinishedJob, endState: undefined}};
	}

	// The job has ended, cannot be parsed or does not exist. Progress is not shown once a job has ended.
	const valueByPart = new Map(entries.map(({key, value}) => [parseJobKey(key)?.part, value]));
	const job = parseJob(valueByPart.get('accepted') ?? 'null');
	const end = parseStoredValue(jobEndSchema, valueByPart.get('end') ?? '');
	return {
		ok: true,
		value: job === undefined
			? undefined
			: {
				job, progress: undefined, cancelled: valueByPart.has('cancelled'), endState: end?.state ?? 'unknown',
			},
	};
}
