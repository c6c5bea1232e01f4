import {jobEndSchema} from '@rosemaryquay/core/jobs/job-schema';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {decodeStoredJobs, parseHolders, parseJob} from '@rosemaryquay/daemon/jobs/decode-stored-jobs';
import {
	createJobPrefix, holdersKey, jobsPrefix, ownerKey, parseJobKey, summaryKey, termKey,
} from '@rosemaryquay/daemon/jobs/keys';
import {type OperatorState, type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {type JobRecord} from './describe-wait.js';

/** Prefixes that are read, by what they hold. */
const prefixes = {
	owner: ownerKey, term: termKey, holders: holdersKey, summary: summaryKey,
} as const;

export type FleetView = {
	readonly operators: OperatorState;
	readonly owner: unknown;
	readonly ownerRevision: number | undefined;
	readonly term: number;
	readonly holders: readonly string[];
	readonly waiting: unknown;
};

export type Reading<Value> = {readonly ok: true; readonly value: Value} | {readonly ok: false; readonly detail: string};

/**
 * Reads the operators' requests and the state of the schedule from the store.
 *
 * @param platform - the platform
 * @returns what the store holds, or why it could not be read; never rejects
 * @example
 * const view = await readFleet(platform);
 */
export async function readFleet(platform: Platform): Promise<Reading<FleetView>> {
	const names = Object.keys(prefixes) as Array<keyof typeof prefixes>;
	const listings = await Promise.all([platform.operators.prefix, ...names.map(name => prefixes[name])].map(async prefix => platform.store.list(prefix)));
	const entries = new Map<string, Entry>();
	for (const listing of listings) {
		if (!listing.ok) {
			return {ok: false, detail: listing.detail ?? listing.reason};
		}

		for (const entry of listing.value.entries) {
			entries.set(entry.key, entry);
		}
	}

	const owner = entries.get(ownerKey);
	return {
		ok: true,
		value: {
			operators: platform.operators.decode(entries.values()),
			owner: parseJson(owner?.value),
			ownerRevision: owner?.modRevision,
			term: Number(entries.get(termKey)?.value ?? 0),
			holders: parseHolders(entries.get(holdersKey)?.value).map(({id}) => id),
			waiting: parseJson(entries.get(summaryKey)?.value),
		},
	};
}

/**
 * Reads the jobs that have not ended.
 *
 * @param platform - the platform
 * @returns the jobs, or why they could not be read
 * @example
 * const jobs = await readOpenJobs(platform);
 */
export async function readOpenJobs(platform: Platform): Promise<Reading<readonly JobRecord[]>> {
	const listing = await platform.store.list(jobsPrefix);
	return listing.ok
		? {ok: true, value: decodeStoredJobs(listing.value.entries).map(job => ({...job, end: undefined}))}
		: {ok: false, detail: listing.detail ?? listing.reason};
}

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
	const [open] = decodeStoredJobs(entries);
	if (open !== undefined) {
		return {ok: true, value: {...open, end: undefined}};
	}

	const parts = new Map(entries.map(({key, value}) => [parseJobKey(key)?.part, value]));
	const job = parseJob(parts.get('accepted') ?? 'null');
	const end = jobEndSchema.safeParse(parseJson(parts.get('end')));
	return {
		ok: true,
		value: job === undefined
			? undefined
			: {
				job, progress: undefined, cancelled: parts.has('cancelled'), end: end.success ? end.data.state : 'unknown',
			},
	};
}

function parseJson(text: string | undefined): unknown {
	try {
		return text === undefined ? undefined : JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
