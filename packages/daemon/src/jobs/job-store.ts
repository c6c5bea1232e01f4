import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {LRUCache} from 'lru-cache';
import {z} from 'zod';
import {type Job, type JobEnd, jobEndSchema} from '@rosemaryquay/core/jobs/job-schema';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Comparison, type Entry} from '@rosemaryquay/core/store/transaction';
import {createJobKey} from './create-job-key.js';
import {createJobPrefix} from './create-job-prefix.js';
import {jobsPrefix, summaryKey} from './keys.js';
import {parseJob} from './parse-job.js';
import {parseJobKey} from './parse-job-key.js';
import {type JobState} from './ports.js';

/** Pause before a call that the store did not answer is repeated. */
const retryPauseMs = 100;

/** Time that the last attempt before a caller's deadline is given; the store answers in milliseconds when it is well. */
const lastAttemptMs = 200;

/** Pause between two probes of a store that is away; the first answer ends the refusals. */
const probeIntervalMs = 250;

/** Age above which a summary of the queues counts as left behind by an owner that is gone; twice its interval. */
const summaryLimitMs = 2500;

/** Ended jobs whose state is kept in memory; callers ask several times about a job that has just ended. */
const rememberedEnds = 2000;

const summarySchema = z.object({publishedAtMs: z.number(), queues: z.record(z.string(), z.object({waiting: z.number()}))});

export type Acceptance =
	| {readonly type: 'accepted'}
	/** The configuration that allowed the call is no longer in force. */
	| {readonly type: 'configuration-changed'; readonly entry: Entry | undefined}
	/** The job is certainly not stored. */
	| {readonly type: 'unavailable'; readonly detail: string}
	/** The job may be stored, or may be yet. */
	| {readonly type: 'unknown'; readonly detail: string};

export type FoundJob = {readonly organisation: string; readonly queue: string; readonly state: JobState; readonly acceptedRevision: number};

export type Lookup = {readonly ok: true; readonly job: FoundJob | undefined} | {readonly ok: false; readonly detail: string};

/** Reads and writes stored jobs on behalf of callers. */
export class JobStore {
	readonly #store: Store;
	#answeredAt = Number.NEGATIVE_INFINITY;
	#probedAt = Number.NEGATIVE_INFINITY;
	readonly #ends = new LRUCache<string, FoundJob>({max: rememberedEnds});

	constructor(options: {store: Store}) {
		this.#store = options.store;
	}

	/** Local steady time in milliseconds at which the store last answered a call. */
	get answeredAt(): number {
		return this.#answeredAt;
	}

	/**
	 * Stores a job while the configuration that allows it is in force. A job that is stored already is accepted again.
	 *
	 * @param job - the job
	 * @param options - condition on the configuration, and the local time in milliseconds until which to try
	 * @returns whether the job is stored; never rejects
	 */
	async accept(job: Job, options: {condition: Comparison; deadlineAt: number}): Promise<Acceptance> {
		const {condition, deadlineAt} = options;
		const key = createJobKey(job.id, 'accepted');
		const value = JSON.stringify(job);
		let isUnknown = false;
		for (;;) {
			const outcome = await this.#call(this.#store.transact({
				compare: [condition, {key, modRevision: 0}],
				success: [{type: 'put', key, value}],
				failure: [{type: 'get', key: condition.key}, {type: 'get', key}],
			}));
			if (outcome.ok && outcome.value.succeeded) {
				return {type: 'accepted'};
			}

			if (outcome.ok) {
				const [configuration, stored] = outcome.value.entries;
				return stored === undefined ? this.#describeRefusal(isUnknown, configuration) : {type: 'accepted'};
			}

			isUnknown ||= outcome.reason !== 'unavailable';
			const detail = outcome.detail ?? outcome.reason;
			if (performance.now() + retryPauseMs + lastAttemptMs > deadlineAt) {
				return {type: isUnknown ? 'unknown' : 'unavailable', detail};
			}

			await delay(retryPauseMs);
		}
	}

	/**
	 * Looks a job up.
	 *
	 * @param id - identifier of the job
	 * @returns the job, or undefined when there is none; not ok when the store did not answer
	 */
	async find(id: string): Promise<Lookup> {
		const remembered = this.#ends.get(id);
		if (remembered !== undefined) {
			return {ok: true, job: remembered};
		}

		const listing = await this.#call(this.#store.list(createJobPrefix(id)));
		if (!listing.ok) {
			return {ok: false, detail: listing.detail ?? listing.reason};
		}

		const job = describeJob(listing.value.entries);
		if (job !== undefined && (job.state === 'completed' || job.state === 'failed')) {
			this.#ends.set(id, job);
		}

		return {ok: true, job};
	}

	/**
	 * Stores the cancellation of a job that exists.
	 *
	 * @param id - identifier of the job
	 * @param job - the job as it was found
	 * @returns true when the cancellation is stored
	 */
	async cancel(id: string, job: FoundJob): Promise<boolean> {
		const key = createJobKey(id, 'cancelled');
		const outcome = await this.#call(this.#store.transact({
			compare: [{key: createJobKey(id, 'accepted'), modRevision: job.acceptedRevision}, {key, modRevision: 0}],
			success: [{type: 'put', key, value: '{}'}],
			failure: [{type: 'get', key}],
		}));
		return outcome.ok && (outcome.value.succeeded || outcome.value.entries[0] !== undefined);
	}

	/**
	 * Counts the jobs of a queue that have not begun, from the owner's summary or, when that is old, from all stored jobs.
	 *
	 * @param queue - name of the queue
	 * @returns the number, or undefined when the store did not answer
	 */
	async countWaiting(queue: string): Promise<number | undefined> {
		const listing = await this.#call(this.#store.list(summaryKey));
		if (!listing.ok) {
			return undefined;
		}

		const summary = parseSummary(listing.value.entries.find(({key}) => key === summaryKey)?.value);
		if (summary !== undefined && Math.abs(Date.now() - summary.publishedAtMs) < summaryLimitMs) {
			return summary.queues[queue]?.waiting ?? 0;
		}

		const all = await this.#call(this.#store.list(jobsPrefix));
		return all.ok ? countUnfinished(all.value.entries, queue) : undefined;
	}

	/** Asks the store for a single key, to notice when it is back. */
	probe(): void {
		if (performance.now() - this.#probedAt > probeIntervalMs) {
			this.#probedAt = performance.now();
			void this.#call(this.#store.list(summaryKey));
		}
	}

	/** Notes when the store answers. */
	async #call<Outcome extends {readonly ok: boolean}>(call: Promise<Outcome>): Promise<Outcome> {
		const outcome = await call;
		if (outcome.ok) {
			this.#answeredAt = performance.now();
		}

		return outcome;
	}

	#describeRefusal(isUnknown: boolean, entry: Entry | undefined): Acceptance {
		return isUnknown ? {type: 'unknown', detail: 'The configuration changed after an unanswered call'} : {type: 'configuration-changed', entry};
	}
}

function describeJob(entries: readonly Entry[]): FoundJob | undefined {
	const parts = new Map(entries.map(entry => [parseJobKey(entry.key)?.part, entry]));
	const accepted = parts.get('accepted');
	const job = accepted === undefined ? undefined : parseJob(accepted.value);
	if (accepted === undefined || job === undefined) {
		return undefined;
	}

	return {
		organisation: job.organisation, queue: job.queue, state: describeState(parts), acceptedRevision: accepted.modRevision,
	};
}

function describeState(parts: ReadonlyMap<string | undefined, Entry>): JobState {
	const end = parseEnd(parts.get('end')?.value);
	if (end !== undefined) {
		return end.state;
	}

	if (parts.has('cancelled')) {
		return 'cancelled';
	}

	return parts.has('progress') ? 'running' : 'queued';
}

function parseEnd(value: string | undefined): JobEnd | undefined {
	return value === undefined ? undefined : jobEndSchema.safeParse(JSON.parse(value)).data;
}

function parseSummary(value: string | undefined): z.infer<typeof summarySchema> | undefined {
	return value === undefined ? undefined : summarySchema.safeParse(JSON.parse(value)).data;
}

function countUnfinished(entries: readonly Entry[], queue: string): number {
	const ended = new Set<string>();
	for (const {key} of entries) {
		const place = parseJobKey(key);
		if (place?.part === 'end' || place?.part === 'cancelled') {
			ended.add(place.id);
		}
	}

	let count = 0;
	for (const {key, value} of entries) {
		const place = parseJobKey(key);
		if (place?.part === 'accepted' && !ended.has(place.id) && parseJob(value)?.queue === queue) {
			count++;
		}
	}

	return count;
}
