import {listSchedulableWorkers} from '../placement/list-schedulable-workers.js';
import {type Queue} from '../state/configuration-schema.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type AdmissionRecord, type QueueAdmission, type Wait} from './admission-record.js';
import {listShares, type Share} from './list-shares.js';
import {listWaitingJobs, type WaitingJob} from './list-waiting-jobs.js';
import {measureCapacityForecast} from './measure-capacity-forecast.js';
import {measureWaits} from './measure-waits.js';
import {usefulnessMultiple} from './usefulness-multiple.js';

/**
 * Measures which queues are overloaded, and how long new jobs of these wait in the best case.
 *
 * @param context - the reducer context
 * @returns the record to publish; undefined if no queue is overloaded
 * @example
 * measureAdmission(context)?.queues['plans']?.waits;
 */
export function measureAdmission(context: ReducerContext): AdmissionRecord | undefined {
	const {scheduler, timeOfDay} = context;
	const waiting = listWaitingJobs(context);
	if (waiting.every(({waitingWork}) => waitingWork === 0)) {
		return undefined;
	}

	const shares = listShares(scheduler, waiting);
	const queues: Record<string, QueueAdmission> = {};
	for (const queue of scheduler.configuration.queues) {
		const admission = measureQueue(context, queue, {jobs: waiting.filter(({service}) => service === queue.service), shares});
		if (admission !== undefined) {
			queues[queue.name] = admission;
		}
	}

	return Object.keys(queues).length === 0 ? undefined : {publishedAtMs: timeOfDay, term: scheduler.term, queues};
}

function measureQueue(context: ReducerContext, queue: Queue, {jobs, shares}: {jobs: readonly WaitingJob[]; shares: ReadonlyMap<string, Share>}): QueueAdmission | undefined {
	const {service, priority} = queue;
	const forecast = jobs.some(({waitingWork}) => waitingWork > 0) ? measureCapacityForecast(context, service) : undefined;
	if (forecast === undefined) {
		return undefined;
	}

	// Organisations beyond their share yield to the others, so what they wait with is not ahead of others' jobs.
	const others = jobs.map(job => shares.get(job.organisation)?.isExceeded ? {...job, waitingWork: 0} : job);
	const waits = measureWaits({jobs: others, forecast, priority});
	const organisations: Record<string, Wait[]> = {};
	for (const [organisation, share] of shares) {
		const own = share.isExceeded ? jobs.filter(job => job.organisation === organisation) : [];
		const ownWaits = own.length === 0 ? [] : measureWaits({
			jobs: others, forecast, priority, beyondShare: {jobs: own, share},
		});
		if (isOverloaded(queue, ownWaits)) {
			organisations[organisation] = ownWaits;
		}
	}

	return isOverloaded(queue, waits) || Object.keys(organisations).length > 0
		? {
			freeCpuMillis: findLargestFree(context, service), capacityCpuMillis: forecast.presentCpuMillis + forecast.laterCpuMillis, waits, organisations,
		}
		: undefined;
}

/** A queue is overloaded if its shortest jobs may be refused, whose objective is little more than the target latency. */
function isOverloaded({targetLatencyMs}: Queue, waits: readonly Wait[]): boolean {
	return waits.some(({lateWaitMs}) => lateWaitMs > usefulnessMultiple * targetLatencyMs);
}

function findLargestFree({scheduler, now}: ReducerContext, service: string): number {
	let free = 0;
	for (const {listing, used} of listSchedulableWorkers(scheduler, now).get(service) ?? []) {
		free = Math.max(free, (listing?.capacity.cpuMillis ?? 0) - used.cpuMillis);
	}

	return free;
}
