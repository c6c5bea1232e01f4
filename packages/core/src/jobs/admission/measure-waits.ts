import {type JobOutlook} from '../order/job-outlook.js';
import {type ServiceShares} from '../order/service-shares.js';
import {findUsefulUntil} from './find-useful-until.js';
import {type CapacityForecast} from './measure-capacities.js';
import {measureServiceTime} from './measure-service-time.js';

/** Standard deviation of the true work of a job relative to its estimate, for run times that are off by a factor of up to 2.5. */
const workDeviation = 0.6;

/** Standard deviations by which the work of many jobs may be less than estimated; it is less in about 2 of 100 cases. */
const certaintyDeviations = 2;

/** Part of its estimated work that each job has at least, for run times that are off by a factor of up to 2.5. */
const leastWorkFraction = 0.4;

/** Time in milliseconds for which an organisation may exceed its share: shares apply to the mean usage of the last 3 s. */
const shareAveragingMs = 3000;

type Options = {
	/** Outlooks of jobs of the service that wait, those that are of use for the longest time first. */
	readonly outlooks: readonly JobOutlook[];
	readonly forecast: CapacityForecast;
	/** Shares of the organisations, if they compete for the service. */
	readonly shares: ServiceShares | undefined;
	/** Priority of the queue of the new jobs. */
	readonly priority: number;
	/** Local time in milliseconds. */
	readonly now: number;
};

type Backlog = {count: number; work: number; jobsAhead: number; workAhead: number; longestPathMs: number; waitMs: number};

/**
 * Measures how long new jobs of each organisation wait in the best case. Only jobs of the same organisation and of higher
 * priority are certainly placed first, because others may be beyond their share, and the rating of jobs of the same
 * priority may change. For every time W, the jobs among them that are of use until W or longer are placed before a new
 * job that starts before W.
 *
 * @param options - jobs, capacity and shares of the service, and the priority of the new jobs
 * @returns waits in milliseconds by organisation
 * @example
 * measureWaits({outlooks, forecast, shares, priority: 1, now}).get('north');
 */
export function measureWaits({outlooks, forecast, shares, priority, now}: Options): Map<string, number> {
	const backlogs = new Map<string, Backlog>();
	let totalWork = 0;
	for (const [index, outlook] of outlooks.entries()) {
		const {organisation, waitingWork, remainingMs} = outlook;
		const backlog = backlogs.get(organisation) ?? {
			count: 0, work: 0, jobsAhead: 0, workAhead: 0, longestPathMs: 0, waitMs: 0,
		};
		backlogs.set(organisation, backlog);
		totalWork += waitingWork;
		backlog.work += waitingWork;
		backlog.count++;
		if (outlook.priority >= priority) {
			continue;
		}

		backlog.jobsAhead++;
		backlog.workAhead += waitingWork;
		backlog.longestPathMs = Math.max(backlog.longestPathMs, remainingMs);
		const ahead = backlog.workAhead * getCertainFraction(backlog.jobsAhead);
		const others = (totalWork - backlog.work) * getCertainFraction(index + 1 - backlog.count);
		const share = shares === undefined ? 1 : (shares.organisations.get(organisation)?.share ?? 0) / Math.max(1, shares.capacity);
		const credit = shareAveragingMs * (forecast.presentCpuMillis + forecast.laterCpuMillis);
		// While others wait, the organisation gets its share; it gets everything afterwards.
		const atShare = Math.min(ahead + others, Math.max(ahead, (ahead / Math.max(share, Number.EPSILON)) - credit));
		// Cores are left idle at most for the time of one critical path before all of the work is done.
		const busyMs = measureServiceTime(atShare, forecast) - backlog.longestPathMs;
		backlog.waitMs = Math.max(backlog.waitMs, Math.min(busyMs, findUsefulUntil(outlook) - now));
	}

	return new Map([...backlogs].map(([organisation, {waitMs}]) => [organisation, waitMs]));
}

/** Lower bound of the work of a number of jobs, as a fraction of its estimate; the errors of many estimates partly cancel out. */
function getCertainFraction(count: number): number {
	return Math.max(leastWorkFraction, 1 - (certaintyDeviations * workDeviation / Math.sqrt(Math.max(1, count))));
}
