import {z} from 'zod';
import {
	type Job, jobSchema, type Progress, progressSchema,
} from '@rosemaryquay/core/jobs/job-schema';
import {type Holder} from '@rosemaryquay/core/jobs/scheduler';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {type JobPart, parseJobKey, wavesPrefix} from './keys.js';

const holdersSchema = z.array(z.object({id: z.string(), address: z.string(), instance: z.string().default('')}));

/** A stored job that has not ended. */
export type StoredJob = {
	readonly job: Job;
	readonly progress: Progress | undefined;
	readonly cancelled: boolean;
};

/**
 * Collects the parts of stored jobs and leaves out those that have ended.
 *
 * @param entries - all entries below the prefix of jobs
 * @returns the jobs that have not ended
 * @example
 * decodeStoredJobs(listing.entries);
 */
export function decodeStoredJobs(entries: readonly Entry[]): StoredJob[] {
	const parts = new Map<string, Partial<Record<JobPart, string>>>();
	for (const {key, value} of entries) {
		const place = parseJobKey(key);
		if (place !== undefined) {
			parts.set(place.id, {...parts.get(place.id), [place.part]: value});
		}
	}

	const jobs: StoredJob[] = [];
	for (const {accepted, cancelled, progress, end} of parts.values()) {
		const job = accepted === undefined || end !== undefined ? undefined : parseJob(accepted);
		if (job !== undefined) {
			jobs.push({job, progress: progress === undefined ? undefined : parseWith(progressSchema, progress), cancelled: cancelled !== undefined});
		}
	}

	return jobs;
}

/** Parses a stored job; undefined for one that another program has written. */
export function parseJob(value: string): Job | undefined {
	return parseWith(jobSchema, value);
}

/** Parses the recorded holders; none when nothing is recorded yet. */
export function parseHolders(value: string | undefined): Holder[] {
	return value === undefined ? [] : parseWith(holdersSchema, value) ?? [];
}

/** Parses the instances of waves whose upkeep is finished. */
export function parseWaves(entries: readonly Entry[]): Map<number, readonly string[]> {
	const waves = new Map<number, readonly string[]>();
	for (const {key, value} of entries) {
		waves.set(Number(key.slice(wavesPrefix.length)), parseWith(z.array(z.string()), value) ?? []);
	}

	return waves;
}

function parseWith<Schema extends z.ZodType>(schema: Schema, value: string): z.infer<Schema> | undefined {
	try {
		const parsed = schema.safeParse(JSON.parse(value));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
