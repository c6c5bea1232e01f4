import {lateObjectiveMultiple} from '../state/constants.js';
import {type Job} from '../state/job-schema.js';
import {type AdmissionRecord} from './admission-record.js';

/** Factor by which estimates of run times are off in either direction. */
const estimateErrorFactor = 2.5;

/** `no-room`: jobs of the queue can't be served in time. `over-share`: the same, of an organisation that uses more than its share. */
export type RefusalReason = 'no-room' | 'over-share';

export type Refusal = {
	readonly type: 'refuse';
	readonly reason: RefusalReason;
	/** Wait in milliseconds until the job would start in the best case. */
	readonly waitMs: number;
	/** Time in milliseconds until a job like this one, submitted then, can meet its objective in the best case. */
	readonly roomInMs: number;
	/** Time in milliseconds that the service needs for the job at full use of its capacity. */
	readonly serviceMs: number;
};

export type AdmissionDecision = {readonly type: 'admit'} | Refusal;

const admit: AdmissionDecision = {type: 'admit'};

/**
 * Decides whether to admit a new job. A job is refused only if it can't be completed within three times its objective in
 * the best case. The decision depends on nothing but the record and the job, so that all entry instances decide alike.
 *
 * @param record - the admission record in force; undefined if there is none or it can't be read
 * @param job - the job, with the policy of its queue
 * @returns the decision
 * @example
 * decideAdmission(record, job).type; // 'admit'
 */
export function decideAdmission(record: AdmissionRecord | undefined, job: Job): AdmissionDecision {
	const {steps, stretch, targetLatencyMs, repeatCount, organisation} = job;
	const queue = record?.queues.find(({name}) => name === job.queue);
	const wait = queue?.organisations.find(({name}) => name === organisation);
	if (queue === undefined || wait === undefined || repeatCount > 0 || steps.some(({longRunning}) => longRunning)) {
		return admit;
	}

	const smallestTask = Math.min(...steps.filter(({after}) => after.length === 0).map(({cpuMillis}) => cpuMillis));
	const criticalPathMs = measureCriticalPath(job);
	const objectiveMs = (stretch * criticalPathMs) + targetLatencyMs;
	if (smallestTask <= queue.freeCpuMillis || objectiveMs === 0 || wait.waitMs <= measureLatestStart(job, criticalPathMs)) {
		return admit;
	}

	let work = 0;
	for (const {count, cpuMillis, estimatedMs} of steps) {
		work += count * cpuMillis * estimatedMs;
	}

	return {
		type: 'refuse',
		reason: wait.isBeyondShare ? 'over-share' : 'no-room',
		waitMs: wait.waitMs,
		roomInMs: Math.max(0, wait.waitMs + criticalPathMs - objectiveMs),
		serviceMs: work / queue.capacityCpuMillis,
	};
}

/** Time in milliseconds until which a job can start and be of use. The estimate may be off, and the objective with it, so the more favourable error counts. */
function measureLatestStart({stretch, targetLatencyMs}: Job, criticalPathMs: number): number {
	const slackPerPath = (lateObjectiveMultiple * stretch) - 1;
	const truePathMs = slackPerPath > 0 ? criticalPathMs * estimateErrorFactor : criticalPathMs / estimateErrorFactor;
	return (lateObjectiveMultiple * targetLatencyMs) + (truePathMs * slackPerPath);
}

function measureCriticalPath({steps}: Job): number {
	const ends: number[] = [];
	for (const {after, estimatedMs} of steps) {
		ends.push(Math.max(0, ...after.map(earlier => ends[earlier] ?? 0)) + estimatedMs);
	}

	return Math.max(0, ...ends);
}
