import {type Job} from '../state/job-schema.js';
import {type AdmissionRecord, type Wait} from './admission-record.js';
import {usefulnessMultiple} from './usefulness-multiple.js';

/** Age from which a record no longer counts; the owner publishes once per second, so it has missed two publications. */
const maximumRecordAgeMs = 2500;

/** `no-room`: no organisation gets a job of this size served in time. `over-share`: only organisations beyond their share do not. */
export type RefusalReason = 'no-room' | 'over-share';

export type AdmissionDecision =
	| {readonly type: 'admit'}
	| {
		readonly type: 'refuse';
		readonly reason: RefusalReason;
		/** Best-case wait until the job would start, in milliseconds. */
		readonly waitMs: number;
		/** Age of the record in milliseconds. */
		readonly recordAgeMs: number;
		/** Time until a job like this one, submitted then, can meet its objective in the best case, in milliseconds. */
		readonly roomInMs: number;
		/** Time that the service needs for a job like this one at full use of its capacity, in milliseconds. */
		readonly serviceMs: number;
	};

type Options = {
	/** Wall-clock time in milliseconds since 1970. */
	timeOfDay: number;
};

const admit: AdmissionDecision = {type: 'admit'};

/**
 * Decides whether to admit a new job. It is refused only if it cannot be completed within three times its objective even
 * if nothing else arrives and its service uses all of its capacity. Without a valid record, every job is admitted.
 *
 * @param record - the admission record in force; undefined if there is none or it cannot be read
 * @param job - the job, with the policy of its queue
 * @param options - wall-clock time in milliseconds
 * @returns the decision
 * @example
 * decideAdmission(record, job, {timeOfDay: Date.now()}).type; // 'admit'
 */
export function decideAdmission(record: AdmissionRecord | undefined, job: Job, {timeOfDay}: Options): AdmissionDecision {
	const queue = record?.queues[job.queue];
	const recordAgeMs = timeOfDay - (record?.publishedAtMs ?? 0);
	// An age below 0 means that the clocks of the two instances differ.
	if (queue === undefined || Math.abs(recordAgeMs) > maximumRecordAgeMs || job.repeatCount > 0 || job.steps.some(({longRunning}) => longRunning)) {
		return admit;
	}

	const smallestTask = Math.min(...job.steps.filter(({after}) => after.length === 0).map(({cpuMillis}) => cpuMillis));
	const criticalPathMs = measureCriticalPath(job);
	const objectiveMs = (job.stretch * criticalPathMs) + job.targetLatencyMs;
	const usefulMs = usefulnessMultiple * objectiveMs;
	if (smallestTask <= queue.freeCpuMillis || usefulMs <= criticalPathMs) {
		return admit;
	}

	let work = 0;
	for (const {count, cpuMillis, estimatedMs} of job.steps) {
		work += count * cpuMillis * estimatedMs;
	}

	const serviceMs = work / queue.capacityCpuMillis;
	const candidates = [['no-room', queue.waits], ['over-share', queue.organisations[job.organisation] ?? []]] as const;
	for (const [reason, waits] of candidates) {
		const waitMs = findWait(waits, {work, slackMs: objectiveMs - criticalPathMs, elapsedMs: Math.max(0, recordAgeMs)});
		if (waitMs + Math.max(criticalPathMs, serviceMs) > usefulMs && waitMs > 0) {
			return {
				type: 'refuse', reason, waitMs, recordAgeMs, roomInMs: Math.max(0, waitMs + criticalPathMs - objectiveMs), serviceMs,
			};
		}
	}

	return admit;
}

/** Finds the wait of a job. In the best case, all capacity since the publication has gone to the jobs ahead of it. */
function findWait(waits: readonly Wait[], {work, slackMs, elapsedMs}: {work: number; slackMs: number; elapsedMs: number}): number {
	const found = waits.findLast(wait => wait.work <= work);
	if (found === undefined) {
		return 0;
	}

	const waitMs = Math.max(0, found.waitMs - elapsedMs);
	return waitMs <= slackMs ? waitMs : Math.max(0, found.lateWaitMs - elapsedMs);
}

function measureCriticalPath({steps}: Job): number {
	const ends: number[] = [];
	for (const {after, estimatedMs} of steps) {
		ends.push(Math.max(0, ...after.map(earlier => ends[earlier] ?? 0)) + estimatedMs);
	}

	return Math.max(0, ...ends);
}
