import {type AdmissionDecision, decideAdmission, type Refusal} from '@rosemaryquay/core/jobs/admission/decide-admission';
import {maximumRecordAgeMs} from '@rosemaryquay/core/jobs/admission/maximum-record-age-ms';
import {isStepReady} from '@rosemaryquay/core/jobs/state/is-step-ready';
import {isUnassigned} from '@rosemaryquay/core/jobs/state/is-unassigned';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Four workers of 16 cores serve about 3.3 jobs per second, of 1.6 steps of 8 tasks of 1 s on 1.5 cores. */
const workerCount = 4;
const servedJobsPerSecond = 10 / 3;

export const burstStartMs = 3000;
const burstMs = 10_000;
export const burstEndMs = burstStartMs + burstMs;

/** Time after the burst in which every job that is of use ends: three times the longest objective is 61.5 s. */
const settlingMs = 62_000;

const urgentQueue = 'watches';
const urgentPolicy = {
	queue: urgentQueue, priority: 0, stretch: 2, targetLatencyMs: 2500,
};

/** Length of urgent tasks relative to others. */
const urgentLength = 3;

/** A caller gives up once the answer would be of no use. */
export const usefulMultiple = 3;

type Options = {
	seed: number;
	/** Demand in the burst relative to capacity. */
	overload: number;
	isAdmissionUsed: boolean;
	/** Part of the jobs that one hot organisation sends, of 1. */
	hotFraction?: number;
	/** Part of the jobs that are urgent, of 1: long ones of a queue of higher priority that stay useful for longer. */
	urgentFraction?: number;
	/** Real run time relative to the estimate, within this factor in either direction. */
	estimateError?: number;
	/** Changes the fleet before the burst. */
	prepare?: (fleet: FleetModel) => void;
	/** Refused callers return; they ignore Retry-After and return together at this time if it is given. */
	returnAllAt?: number;
};

type Refused = {
	readonly at: number;
	readonly reason: string;
	readonly organisation: string;
	/** Age in milliseconds and term of the record. */
	readonly recordAgeMs: number;
	readonly term: number;
	/** A worker had room for a task of the job, and no task was waiting for it. */
	readonly hadRoom: boolean;
};

type Submission = {readonly job: Job; readonly firstAt: number; readonly objectiveMs: number; acceptedAt: number | undefined; refusals: number};

export type OverloadResult = {
	readonly fleet: FleetModel;
	readonly submissions: readonly Submission[];
	readonly onTime: number;
	readonly late: number;
	readonly useless: number;
	readonly neverAccepted: number;
	readonly refusals: readonly Refused[];
	/** Jobs without an end when the burst ends. */
	readonly backlog: number;
};

/**
 * Simulates a burst of ten seconds on one service. Callers are refused by the admission record in force and return when they are told to.
 *
 * @param options - seed, load and failures
 * @returns what the callers got
 * @example
 * simulateOverload({seed: 1, overload: 5, isAdmissionUsed: true}).onTime;
 */
export function simulateOverload(options: Options): OverloadResult {
	const {seed, overload, isAdmissionUsed, hotFraction = 0, urgentFraction = 0, estimateError = 1, prepare, returnAllAt} = options;
	const factors = new Map<string, number>();
	const configuration = createConfiguration();
	const workers = createWorkers(workerCount);
	const fleet = new FleetModel({
		seed,
		configuration: {...configuration, queues: configuration.queues.map(queue => ({...queue, priority: queue.name === urgentQueue ? 0 : 1}))},
		workers,
		instances: workers.map(({id, instance, service, availabilityZone, capacity}) => ({
			id: instance, pool: service, state: 'up' as const, availabilityZone, capacity, worker: id,
		})),
		getBehaviour: (task, job) => ({durationMs: (job.steps[0]?.estimatedMs ?? 0) * (factors.get(job.id) ?? 1)}),
	});
	fleet.takeOver();
	prepare?.(fleet);
	const submissions: Submission[] = [];
	const refusals: Refused[] = [];
	let nextReturnAt = 0;
	/** Spreads the returns as one `ReturnSchedule` for all callers does. */
	const findReturn = ({roomInMs, serviceMs}: Refusal, now: number): number => {
		const latest = now + 30_000;
		const at = Math.min(latest, Math.max(now + roomInMs, nextReturnAt));
		nextReturnAt = Math.min(latest, at + serviceMs);
		return now + (Math.max(1, Math.ceil((at - now) / 1000)) * 1000);
	};

	const submit = (submission: Submission): void => {
		const {job, firstAt, objectiveMs} = submission;
		const decision = isAdmissionUsed ? decide(fleet, job) : {type: 'admit' as const};
		if (decision.type === 'admit') {
			submission.acceptedAt = fleet.now;
			fleet.submit({...job, acceptedAtMs: fleet.now});
			return;
		}

		submission.refusals++;
		refusals.push({
			at: fleet.now, reason: decision.reason, organisation: job.organisation, recordAgeMs: fleet.now - fleet.admissionRecord.publishedAtMs, term: fleet.admissionRecord.term, hadRoom: hasRoom(fleet, job),
		});
		const returnAt = returnAllAt !== undefined && fleet.now < returnAllAt ? returnAllAt : findReturn(decision, fleet.now);
		if (returnAt < firstAt + (usefulMultiple * objectiveMs)) {
			fleet.at(returnAt, () => {
				submit(submission);
			});
		}
	};

	for (let at = burstStartMs; at < burstEndMs; at += fleet.draw(500, 1500) / (servedJobsPerSecond * overload)) {
		const firstAt = Math.round(at);
		const id = `j${submissions.length}`;
		const isUrgent = fleet.draw(1, 100) <= urgentFraction * 100;
		const estimatedMs = fleet.draw(500, 1500) * (isUrgent ? urgentLength : 1);
		factors.set(id, estimateError ** (fleet.draw(-100, 100) / 100));
		const step = {count: 8, cpuMillis: 1500, estimatedMs};
		const steps = fleet.draw(1, 10) <= 6 ? [step, {...step, after: [0]}] : [step];
		const job = createJob(id, {
			...(isUrgent ? urgentPolicy : {priority: 1}), acceptedAtMs: firstAt, steps, organisation: fleet.draw(1, 100) <= hotFraction * 100 ? 'south' : 'north',
		});
		const submission: Submission = {
			job, firstAt, objectiveMs: (job.stretch * estimatedMs * steps.length) + job.targetLatencyMs, acceptedAt: undefined, refusals: 0,
		};
		submissions.push(submission);
		fleet.at(firstAt, () => {
			submit(submission);
		});
	}

	fleet.runUntil(burstEndMs);
	const backlog = fleet.unfinishedJobs.length;
	fleet.runUntil(burstEndMs + settlingMs);
	return {
		fleet, submissions, ...count(fleet, submissions), refusals, backlog,
	};
}

/** Decides by the record in the modelled store, as an entry instance does after the comparison of its revision. */
function decide(fleet: FleetModel, job: Job): AdmissionDecision {
	const {admissionRecord, now} = fleet;
	const isInForce = now - admissionRecord.publishedAtMs <= maximumRecordAgeMs && admissionRecord.term === fleet.owner?.fence;
	return decideAdmission(isInForce ? admissionRecord : undefined, job);
}

function hasRoom(fleet: FleetModel, job: Job): boolean {
	const need = job.steps[0]?.cpuMillis ?? 0;
	const isWaiting = [...fleet.owner?.scheduler.jobs.values() ?? []].some(({occurrences}) => [...occurrences.values()].some(steps => steps.some(step => isStepReady(steps, step) && step.groups.some(group => isUnassigned(group)))));
	return !isWaiting && [...fleet.owner?.scheduler.workers.values() ?? []].some(({listing, used}) => (listing?.capacity.cpuMillis ?? 0) - used.cpuMillis >= need);
}

function count(fleet: FleetModel, submissions: readonly Submission[]) {
	const counts = {
		onTime: 0, late: 0, useless: 0, neverAccepted: 0,
	};
	for (const {job, firstAt, objectiveMs, acceptedAt} of submissions) {
		const endedAt = fleet.storedJobs.get(job.id)?.end?.endedAtMs ?? Number.POSITIVE_INFINITY;
		const latencyMs = endedAt - firstAt;
		if (acceptedAt === undefined) {
			counts.neverAccepted++;
			continue;
		}

		if (latencyMs <= objectiveMs) {
			counts.onTime++;
		} else if (latencyMs <= usefulMultiple * objectiveMs) {
			counts.late++;
		} else {
			counts.useless++;
		}
	}

	return counts;
}
