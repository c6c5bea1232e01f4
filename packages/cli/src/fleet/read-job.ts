import {jobEndSchema} from '@rosemaryquay/core/jobs/job-schema';
import {createJobPrefix} from '@rosemaryquay/daemon/jobs/create-job-prefix';
import {decodeUnfinishedJobs} from '@rosemaryquay/daemon/jobs/decode-unfinished-jobs';
import {parseJob} from '@rosemaryquay/daemon/jobs/parse-job';
import {parseJobKey} from '@rosemaryquay/daemon/jobs/parse-job-key';
import {parseStoredValue} from '@rosemaryquay/daemon/jobs/parse-stored-value';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {type JobRecord} from './describe-wait.js';
import {type Reading} from './read-fleet.js';

/**
 * Reads one job, ended or not.
 *
 * @param platform - the platform
 * @param id - identifier of the job
 * @returns the job, undefined when there is none, or why it could not be read
 * @example
 * const job = await readJob(platform, '00000000000000a1');
 */
export async function readJob(platform: Platform, id: string): Promise<Reading<JobRecord | undefined>> {
	const listing = await platform.store.list(createJobPrefix(id));
	if (!listing.ok) {
		return {ok: false, detail: listing.detail ?? listing.reason};
	}

	const {entries} = listing.value;
	const [open] = decodeUnfinishedJobs(entries);
	if (open !== undefined) {
		return {ok: true, value: {...open, end: undefined}};
	}

	const parts = new Map(entries.map(({key, value}) => [parseJobKey(key)?.part, value]));
	const job = parseJob(parts.get('accepted') ?? 'null');
	const end = parseStoredValue(jobEndSchema, parts.get('end') ?? '');
	return {
		ok: true,
		value: job === undefined
			? undefined
			: {
				job, progress: undefined, cancelled: parts.has('cancelled'), end: end?.state ?? 'unknown',
			},
	};
}
