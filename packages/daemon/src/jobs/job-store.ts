import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {LRUCache} from 'lru-cache';
import {z} from 'zod';
import {type Refusal} from '@rosemaryquay/core/jobs/admission/decide-admission';
import {type EndedJob, type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Comparison, type Entry} from '@rosemaryquay/core/store/transaction';
import {AdmissionGate} from './admission-gate.js';
import {createEndedJobKey} from './create-ended-job-key.js';
import {createJobKey} from './create-job-key.js';
import {createJobPrefix} from './create-job-prefix.js';
import {createPayloadKey} from './create-payload-key.js';
import {createProgressKey} from './create-progress-key.js';
import {encodeJob} from './encode-job.js';
import {
	admissionKey, jobsPrefix, ownerKey, summaryKey,
} from './keys.js';
import {parseEndedJob} from './parse-ended-job.js';
import {parseJob} from './parse-job.js';
import {parseJobKey} from './parse-job-key.js';
import {parseStoredValue} from './parse-stored-value.js';
import {type JobState} from './ports.js';
import {showsBegunTask} from './shows-begun-task.js';

/** Delay before a failed write is retried. */
const retryDelayMs = 100;

/** Time that must remain until the caller's deadline when another attempt begins; a healthy store needs only some milliseconds of it. */
const lastAttemptReserveMs = 200;

/** Shortest interval between two probes of an unresponsive store. The API refuses requests until a probe succeeds. */
const probeIntervalMs = 250;

/** Age above which a summary of the queues counts as left behind by a former owner; more than twice `summaryIntervalMs`, at which an owner publishes it. */
const maximumSummaryAgeMs = 2500;

/** Number of ended jobs whose state is cached; callers ask several times about a job that has just ended. */
const endedJobCacheSize = 2000;

const summarySchema = z.object({publishedAtMs: z.number(), queues: z.record(z.string(), z.object({waiting: z.number()}))});

export type Acceptance =
	| {readonly type: 'accepted'}
	/** The configuration that authorised the request is no longer in force; `entry` contains the current one. */
	| {readonly type: 'configuration-changed'; readonly entry: Entry | undefined}
	/** The job is not stored, and no attempt of this submission will store it. */
	| {readonly type: 'refused'; readonly refusal: Refusal}
	/** The job is definitely not stored. */
	| {readonly type: 'unavailable'; readonly detail: string}
	/** The job may have been stored, or may still be stored later. */
	| {readonly type: 'unknown'; readonly detail: string};

type AcceptOptions = {
	readonly payload: string;
	readonly condition: Comparison;
	readonly deadlineAt: number;
	readonly isAbandoned?: () => boolean;
};

/** The state of a stored job; `acceptedRevision` is the store revision of its part `accepted`, 0 once the job has ended. */
export type FoundJob = {readonly organisation: string; readonly queue: string; readonly state: JobState; readonly acceptedRevision: number};

export type Lookup = {readonly ok: true; readonly job: FoundJob | undefined} | {readonly ok: false; readonly detail: string};

/** Reads and writes stored jobs on behalf of callers. */
export class JobStore {
	readonly #store: Store;
	readonly #admission = new AdmissionGate();
	#lastSucceededAt = Number.NEGATIVE_INFINITY;
	#lastProbedAt = Number.NEGATIVE_INFINITY;
	readonly #endedJobs = new LRUCache<string, FoundJob>({max: endedJobCacheSize});

	constructor(options: {store: Store}) {
		this.#store = options.store;
	}

	/** Local monotonic time in milliseconds of the last successful call to the store; refusals do not count. */
	get lastSucceededAt(): number {
		return this.#lastSucceededAt;
	}

	/**
	 * Stores a job, provided that the configuration that authorised it is still in force and that the admission record
	 * admits it. Idempotent: a job that is stored already is accepted again.
	 *
	 * The comparison of the record's revision makes every attempt fail that was sent under another record, whenever the
	 * store carries it out. A job is refused only by an answer in which the record is in force and the job is not stored.
	 *
	 * @param job - the job
	 * @param options - payload of the job, condition on the configuration, the local monotonic time in milliseconds after which no further attempt is made, and whether the caller has given up, after which the job is not decided by another record
	 * @returns whether the job is stored; never rejects
	 */
	async accept(job: Job, options: AcceptOptions): Promise<Acceptance> {
		const {payload, condition, deadlineAt, isAbandoned = () => false} = options;
		const key = createJobKey(job.id, 'accepted');
		const endedKey = createEndedJobKey(job.id);
		const value = encodeJob(job);
		const reads = [condition.key, key, endedKey, admissionKey, ownerKey].map(readKey => ({type: 'get' as const, key: readKey}));
		let {revision} = this.#admission;
		let isAdmitted = this.#admission.decide(job, performance.now()).type === 'admit';
		let isUnknown = false;
		for (;;) {
			const outcome = await this.#call(this.#store.transact(isAdmitted
				? {
					compare: [condition, {key, modRevision: 0}, {key: endedKey, modRevision: 0}, {key: admissionKey, modRevision: revision}],
					success: [{type: 'put', key, value}, {type: 'put', key: createPayloadKey(job.id), value: payload}],
					failure: reads,
				}
				: {compare: [], success: reads, failure: []}));
			if (outcome.ok && outcome.value.succeeded && isAdmitted) {
				return {type: 'accepted'};
			}

			if (outcome.ok) {
				const acceptance = this.#judgeAnswer(job, outcome.value.entries, {
					condition, revision, isAdmitted, isUnknown,
				});
				if (acceptance !== undefined) {
					return acceptance;
				}

				const isChanged = this.#admission.revision !== revision;
				// The attempts so far were under the former record, so the store doesn't carry them out any more.
				isUnknown &&= !isChanged;
				if (performance.now() > deadlineAt || (isChanged && isAbandoned())) {
					return {type: isUnknown ? 'unknown' : 'unavailable', detail: 'The admission record keeps changing'};
				}

				({revision} = this.#admission);
				isAdmitted = true;
				continue;
			}

			isUnknown ||= isAdmitted && outcome.reason !== 'unavailable';
			const detail = outcome.detail ?? outcome.reason;
			if (performance.now() + retryDelayMs + lastAttemptReserveMs > deadlineAt) {
				return {type: isUnknown ? 'unknown' : 'unavailable', detail};
			}

			await delay(retryDelayMs);
		}
	}

	/**
	 * Looks a job up.
	 *
	 * @param id - identifier of the job
	 * @returns the job, or undefined when it does not exist; not ok when the store did not answer
	 */
	async find(id: string): Promise<Lookup> {
		const cached = this.#endedJobs.get(id);
		if (cached !== undefined) {
			return {ok: true, job: cached};
		}

		const listing = await this.#call(this.#store.list(createJobPrefix(id)));
		if (!listing.ok) {
			return {ok: false, detail: listing.detail ?? listing.reason};
		}

		const job = decodeFoundJob(listing.value.entries);
		if (job === undefined) {
			return this.#findEnded(id);
		}

		return job.state === 'cancelled' || await this.#hasProgress(id) === false ? {ok: true, job} : {ok: true, job: {...job, state: 'running'}};
	}

	/**
	 * Stores the cancellation of an existing job. Idempotent.
	 *
	 * @param id - identifier of the job
	 * @param job - the job as `find` returned it
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
	 * Counts the jobs of a queue that have not begun, from the owner's summary. When that is outdated, counts its unfinished
	 * jobs that are not cancelled: an upper bound, since it includes running jobs.
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
		if (summary !== undefined && Math.abs(Date.now() - summary.publishedAtMs) < maximumSummaryAgeMs) {
			return summary.queues[queue]?.waiting ?? 0;
		}

		const jobs = await this.#call(this.#store.list(jobsPrefix));
		return jobs.ok ? countUnfinished(jobs.value.entries, queue) : undefined;
	}

	/** Reads a single key to detect when the store can be used again; limited to one probe each `probeIntervalMs`. */
	probe(): void {
		if (performance.now() - this.#lastProbedAt > probeIntervalMs) {
			this.#lastProbedAt = performance.now();
			void this.#call(this.#store.list(summaryKey));
		}
	}

	/** Judges a submission by an answer in which it was not stored; undefined if it is to be stored under the record in the answer. */
	#judgeAnswer(job: Job, entries: ReadonlyArray<Entry | undefined>, attempt: {condition: Comparison; revision: number; isAdmitted: boolean; isUnknown: boolean}): Acceptance | undefined {
		const [configuration, stored, ended, admission, owner] = entries;
		const now = performance.now();
		this.#admission.adopt(admission, owner, {now, timeOfDay: Date.now()});
		if (stored !== undefined || ended !== undefined) {
			return {type: 'accepted'};
		}

		if (!isMet(attempt.condition, configuration)) {
			return this.#toAcceptance(attempt.isUnknown, configuration);
		}

		const decision = this.#admission.decide(job, now);
		// A submission that this record has admitted once is not refused by it.
		const isDecided = attempt.isAdmitted && this.#admission.revision === attempt.revision;
		return decision.type === 'refuse' && !isDecided ? {type: 'refused', refusal: decision} : undefined;
	}

	/** Tells whether the stored progress of a job shows that a task has begun; undefined when the store did not answer. */
	async #hasProgress(id: string): Promise<boolean | undefined> {
		const key = createProgressKey(id);
		const listing = await this.#call(this.#store.list(key));
		return listing.ok ? listing.value.entries.some(entry => entry.key === key && showsBegunTask(entry.value)) : undefined;
	}

	async #findEnded(id: string): Promise<Lookup> {
		const key = createEndedJobKey(id);
		const listing = await this.#call(this.#store.list(key));
		if (!listing.ok) {
			return {ok: false, detail: listing.detail ?? listing.reason};
		}

		const entry = listing.value.entries.find(candidate => candidate.key === key);
		const ended = entry === undefined ? undefined : parseEndedJob(entry.value);
		if (ended === undefined) {
			return {ok: true, job: undefined};
		}

		const job = toFoundJob(ended);
		this.#endedJobs.set(id, job);
		return {ok: true, job};
	}

	/** Awaits a call to the store and records its time if it succeeds. */
	async #call<Outcome extends {readonly ok: boolean}>(call: Promise<Outcome>): Promise<Outcome> {
		const outcome = await call;
		if (outcome.ok) {
			this.#lastSucceededAt = performance.now();
		}

		return outcome;
	}

	#toAcceptance(isUnknown: boolean, entry: Entry | undefined): Acceptance {
		return isUnknown ? {type: 'unknown', detail: 'The configuration changed after an unanswered call'} : {type: 'configuration-changed', entry};
	}
}

function isMet({modRevision, value}: Comparison, entry: Entry | undefined): boolean {
	return (entry?.modRevision ?? 0) === modRevision && (value === undefined || entry?.value === value);
}

function decodeFoundJob(entries: readonly Entry[]): FoundJob | undefined {
	const parts = new Map(entries.map(entry => [parseJobKey(entry.key)?.part, entry]));
	const accepted = parts.get('accepted');
	const job = accepted === undefined ? undefined : parseJob(accepted.value);
	if (accepted === undefined || job === undefined) {
		return undefined;
	}

	return {
		organisation: job.organisation, queue: job.queue, state: deriveState(parts), acceptedRevision: accepted.modRevision,
	};
}

function deriveState(parts: ReadonlyMap<string | undefined, Entry>): JobState {
	return parts.has('cancelled') ? 'cancelled' : 'queued';
}

function toFoundJob({organisation, queue, state}: EndedJob): FoundJob {
	return {
		organisation, queue, state, acceptedRevision: 0,
	};
}

function parseSummary(value: string | undefined): z.infer<typeof summarySchema> | undefined {
	return value === undefined ? undefined : parseStoredValue(summarySchema, value);
}

function countUnfinished(entries: readonly Entry[], queue: string): number {
	const cancelled = new Set<string>();
	for (const {key} of entries) {
		const location = parseJobKey(key);
		if (location?.part === 'cancelled') {
			cancelled.add(location.id);
		}
	}

	let count = 0;
	for (const {key, value} of entries) {
		const location = parseJobKey(key);
		if (location?.part === 'accepted' && !cancelled.has(location.id) && parseJob(value)?.queue === queue) {
			count++;
		}
	}

	return count;
}
