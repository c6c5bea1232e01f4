import {addResources} from '../placement/add-resources.js';
import {measureDominantResource} from '../placement/measure-dominant-resource.js';
import {type Resources} from '../state/configuration-schema.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {computeShares} from './compute-shares.js';
import {type JobOutlook} from './job-outlook.js';
import {measureOutlook} from './measure-outlook.js';
import {measureUsage, type ServiceUsage} from './measure-usage.js';
import {rateJob} from './rate-job.js';

type RatedJob = {readonly job: ActiveJob; readonly outlook: JobOutlook; readonly rating: number};

/** Usage of the organisations of a service, in thousandths of a core, as it grows in the order of placement. */
type Account = {readonly capacity: Resources; readonly shares: ReadonlyMap<string, {readonly share: number}>; readonly used: Map<string, number>};

const nothing: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/**
 * Orders waiting jobs for placement: long-running jobs, jobs of organisations that use less than their share of the
 * service, other jobs, and jobs that are no longer of use. Within each of these, jobs go by priority, then by the value
 * that their caller gets for the work that is still to be placed. Shares change nothing on a service with room for all
 * its tasks, and never keep a job from capacity that no other job can use.
 *
 * @param scheduler - the state; outlooks of the jobs and the shares of contended services are updated
 * @param jobs - jobs with tasks that wait to be placed
 * @param now - local time in milliseconds
 * @returns the jobs in the order of placement
 * @example
 * orderJobs(scheduler, waiting, now);
 */
export function orderJobs(scheduler: Scheduler, jobs: readonly ActiveJob[], now: number): ActiveJob[] {
	const rated = jobs.map((job): RatedJob => {
		const outlook = measureOutlook(scheduler, job, now);
		return {job, outlook, rating: rateJob(outlook, now - job.acceptedAt)};
	}).toSorted(compareJobs);
	const accounts = openAccounts(scheduler, rated, now);
	const longRunning: ActiveJob[] = [];
	const within: ActiveJob[] = [];
	const beyond: ActiveJob[] = [];
	const useless: ActiveJob[] = [];
	for (const {job, outlook, rating} of rated) {
		const isWithinShare = chargeAccount(accounts.get(outlook.service), job, outlook);
		if (outlook.isLongRunning) {
			longRunning.push(job);
		} else if (rating === 0) {
			useless.push(job);
		} else if (isWithinShare) {
			within.push(job);
		} else {
			beyond.push(job);
		}
	}

	return [...longRunning, ...within, ...beyond, ...useless];
}

/** Long-running jobs first, then jobs of use, then by priority and rating; the older one of equal jobs. */
function compareJobs(left: RatedJob, right: RatedJob): number {
	return Number(right.outlook.isLongRunning) - Number(left.outlook.isLongRunning)
		|| Number(left.rating === 0) - Number(right.rating === 0)
		|| left.outlook.priority - right.outlook.priority
		|| right.rating - left.rating
		|| left.job.acceptedAt - right.job.acceptedAt;
}

/** Opens accounts for the services on which organisations compete. */
function openAccounts(scheduler: Scheduler, rated: readonly RatedJob[], now: number): Map<string, Account> {
	const waiting = new Map<string, Map<string, Resources>>();
	for (const {job, outlook} of rated) {
		const {organisation} = job.definition;
		const byOrganisation = waiting.get(outlook.service) ?? new Map<string, Resources>();
		waiting.set(outlook.service, byOrganisation);
		byOrganisation.set(organisation, addResources(byOrganisation.get(organisation) ?? nothing, outlook.waiting));
	}

	const organisations = new Map(scheduler.configuration.organisations.map(organisation => [organisation.name, organisation]));
	const usages: ReadonlyMap<string, ServiceUsage> = organisations.size < 2 ? new Map() : measureUsage(scheduler, now);
	const accounts = new Map<string, Account>();
	scheduler.contention.clear();
	for (const [service, byOrganisation] of waiting) {
		const usage = usages.get(service);
		const shares = usage === undefined ? undefined : computeShares(usage, byOrganisation, organisations);
		if (usage === undefined || shares === undefined) {
			continue;
		}

		scheduler.contention.set(service, shares);
		accounts.set(service, {
			capacity: usage.capacity,
			shares: shares.organisations,
			used: new Map([...shares.organisations].map(([name, {used}]) => [name, used])),
		});
	}

	return accounts;
}

/**
 * Adds the waiting tasks of a job to the usage of its organisation, and tells whether that was below its share before.
 * A job counts as a whole: otherwise an organisation whose share is smaller than one task would never be within it.
 */
function chargeAccount(account: Account | undefined, {definition}: ActiveJob, {waiting}: JobOutlook): boolean {
	if (account === undefined) {
		return true;
	}

	const {organisation} = definition;
	const used = account.used.get(organisation) ?? 0;
	account.used.set(organisation, used + measureDominantResource(waiting, account.capacity));
	return used < (account.shares.get(organisation)?.share ?? 0);
}
