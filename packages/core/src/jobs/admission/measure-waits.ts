import {type Wait} from './admission-record.js';
import {type CapacityForecast} from './measure-capacity-forecast.js';
import {measureServiceTime} from './measure-service-time.js';
import {type Share} from './list-shares.js';
import {type WaitingJob} from './list-waiting-jobs.js';

/** Standard deviation of the estimated work of a job relative to the real one, for run times that are off by a factor of up to 2.5. */
const workDeviation = 0.6;

/** Standard deviations that the work ahead may be lower than estimated; with two of them, it is lower in about 2 of 100 cases. */
const certaintyDeviations = 2;

/** Most waits in a list, so that a record of many queues and organisations has some kilobytes. */
const maximumWaits = 8;

type Options = {
	/** Jobs of the service, without those that organisations beyond their share wait with. */
	readonly jobs: readonly WaitingJob[];
	readonly forecast: CapacityForecast;
	/** Priority of the queue. */
	readonly priority: number;
	/** The organisation whose share the wait is for, with its own jobs. */
	readonly beyondShare?: {readonly jobs: readonly WaitingJob[]; readonly share: Share} | undefined;
};

type Ahead = {readonly work: number; readonly count: number};

/**
 * Measures the best-case waits of new jobs by their work: nothing else arrives, all capacity is used, and only those jobs
 * go first that certainly do. These are the jobs of higher priorities, and those of the same priority with no more work.
 * Work that is on workers already comes before all.
 *
 * @param options - jobs of the service, its capacity, and the priority of the queue
 * @returns the waits in ascending order of work
 * @example
 * measureWaits({jobs, forecast, priority: 0});
 */
export function measureWaits({jobs, forecast, priority, beyondShare}: Options): Wait[] {
	const candidates = [...jobs, ...beyondShare?.jobs ?? []].filter(job => job.priority === priority && job.waitingWork > 0);
	const sortedJobs = jobs.toSorted(compareJobs);
	const sortedOwn = beyondShare?.jobs.toSorted(compareJobs) ?? [];
	const waits: Wait[] = [];
	for (const work of chooseWorks(candidates)) {
		const measure = (latest: number): number => {
			const isAhead = (job: WaitingJob): boolean => (job.priority < priority && job.waitingWork > 0)
				|| (job.priority === priority && job.lateness <= latest && job.waitingWork > 0 && job.waitingWork + job.assignedWork <= work);
			const others = sumAhead(sortedJobs, isAhead, forecast);
			const own = sumAhead(sortedOwn, isAhead, forecast);
			// The organisation gets its share while others wait, and everything afterwards.
			const ownWork = beyondShare === undefined ? others.work : Math.min(own.work / beyondShare.share.fraction, own.work + others.work);
			let assigned = 0;
			for (const {assignedWork} of jobs) {
				assigned += assignedWork;
			}

			const certainWork = ownWork * getCertainFraction(beyondShare === undefined ? others.count : own.count);
			return certainWork === 0 ? 0 : measureServiceTime(certainWork + (beyondShare === undefined ? assigned * getCertainFraction(jobs.length) : 0), forecast);
		};

		waits.push({work, waitMs: Math.round(measure(0)), lateWaitMs: Math.round(measure(1))});
	}

	return waits;
}

/** Chooses sizes of work at which the wait is measured: quantiles of the jobs that wait, and 0 for what waits for higher priorities only. */
function chooseWorks(jobs: readonly WaitingJob[]): number[] {
	const sorted = jobs.map(({waitingWork, assignedWork}) => waitingWork + assignedWork).toSorted((left, right) => left - right);
	const works = new Set([0]);
	for (let index = 1; index < maximumWaits && sorted.length > 0; index++) {
		works.add(sorted[Math.ceil(sorted.length * index / (maximumWaits - 1)) - 1] ?? 0);
	}

	return [...works];
}

/** Order in which jobs are served in the best case of a new one. */
function compareJobs(left: WaitingJob, right: WaitingJob): number {
	return left.priority - right.priority || left.lateness - right.lateness || (left.waitingWork + left.assignedWork) - (right.waitingWork + right.assignedWork);
}

/** Sums what is ahead. Jobs whose turn comes when they are of no use any more let others pass, so they are not ahead. */
function sumAhead(sorted: readonly WaitingJob[], isAhead: (job: WaitingJob) => boolean, forecast: CapacityForecast): Ahead {
	let work = 0;
	let count = 0;
	for (const job of sorted) {
		if (isAhead(job) && measureServiceTime(work, forecast) <= job.usefulForMs) {
			work += job.waitingWork;
			count++;
		}
	}

	return {work, count};
}

/** Fraction of the estimated work of a number of jobs that is certain although each estimate may be off; errors of many jobs even out. */
function getCertainFraction(count: number): number {
	return count === 0 ? 0 : Math.max(0, 1 - (certaintyDeviations * workDeviation / Math.sqrt(count)));
}
