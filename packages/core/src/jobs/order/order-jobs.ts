import {measureDominantResource} from '../placement/measure-dominant-resource.js';
import {type Resources} from '../state/configuration-schema.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {averageUsage} from './average-usage.js';
import {computeShares} from './compute-shares.js';
import {type JobOutlook} from './job-outlook.js';
import {measureOutlook} from './measure-outlook.js';
import {measureUsage} from './measure-usage.js';
import {rateJob} from './rate-job.js';

/** Usage of an organisation, in thousandths of a core by the dominant resource, as it grows in the order of placement. */
type Balance = {used: number; readonly share: number};

type Account = {readonly capacity: Resources; readonly balances: ReadonlyMap<string, Balance>};

/** Ratio between two classes of ratings; smaller differences come from the error of learned run times; wider classes ignore real differences in value. */
const ratingClassRatio = 1.03;

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
	const outlooks: JobOutlook[] = [];
	for (const job of jobs) {
		const outlook = measureOutlook(scheduler, job, now);
		outlook.rating = outlook.isLongRunning ? 1 : rateJob(outlook, now - outlook.dueAt);
		outlooks.push(outlook);
	}

	const accounts = openAccounts(scheduler, outlooks, now);
	outlooks.sort(compareOutlooks);
	const ordered: ActiveJob[] = [];
	const beyond: ActiveJob[] = [];
	const useless: ActiveJob[] = [];
	for (const outlook of outlooks) {
		const isWithinShare = accounts.size === 0 || chargeAccount(accounts.get(outlook.service), outlook);
		if (outlook.rating === 0) {
			useless.push(outlook.job);
		} else if (isWithinShare || outlook.isLongRunning) {
			ordered.push(outlook.job);
		} else {
			beyond.push(outlook.job);
		}
	}

	return [...ordered, ...beyond, ...useless];
}

/** Long-running jobs first, then jobs of use, then by priority and rating; the older one of equal jobs. */
function compareOutlooks(left: JobOutlook, right: JobOutlook): number {
	if (left.isLongRunning !== right.isLongRunning) {
		return left.isLongRunning ? -1 : 1;
	}

	if (left.rating === 0 !== (right.rating === 0)) {
		return left.rating === 0 ? 1 : -1;
	}

	return left.priority - right.priority || classifyRating(right.rating) - classifyRating(left.rating) || left.dueAt - right.dueAt;
}

/** Ratings of one class count as equal: learned run times differ a little between equal jobs, and newer jobs would else be placed before older ones. */
function classifyRating(rating: number): number {
	return rating === 0 ? 0 : Math.round(Math.log(rating) / Math.log(ratingClassRatio));
}

/** Opens accounts for the services on which organisations compete. */
function openAccounts(scheduler: Scheduler, outlooks: readonly JobOutlook[], now: number): Map<string, Account> {
	const accounts = new Map<string, Account>();
	scheduler.contention.clear();
	const organisations = new Map(scheduler.configuration.organisations.map(organisation => [organisation.name, organisation]));
	if (organisations.size < 2) {
		return accounts;
	}

	const usages = measureUsage(scheduler, now);
	averageUsage(scheduler, usages, now);
	for (const [service, waiting] of addWaitingResources(outlooks)) {
		const usage = usages.get(service);
		const shares = usage === undefined ? undefined : computeShares(usage, waiting, organisations);
		if (usage === undefined || shares === undefined) {
			continue;
		}

		const means = scheduler.meanUsage.get(service);
		const balances = new Map<string, Balance>();
		for (const [name, {used, share}] of shares.organisations) {
			balances.set(name, {used: Math.min(used, means?.get(name) ?? used), share});
		}

		scheduler.contention.set(service, shares);
		accounts.set(service, {capacity: usage.capacity, balances});
	}

	return accounts;
}

/** Adds up the resources of the ready tasks that wait, by service and organisation. */
function addWaitingResources(outlooks: readonly JobOutlook[]): Map<string, Map<string, Resources>> {
	const byService = new Map<string, Map<string, Resources>>();
	for (const {service, organisation, waiting} of outlooks) {
		const byOrganisation = byService.get(service) ?? new Map<string, Resources>();
		byService.set(service, byOrganisation);
		const sum = byOrganisation.get(organisation);
		if (sum === undefined) {
			byOrganisation.set(organisation, {...waiting});
		} else {
			sum.cpuMillis += waiting.cpuMillis;
			sum.memoryMb += waiting.memoryMb;
			sum.accelerators += waiting.accelerators;
		}
	}

	return byService;
}

/**
 * Adds the waiting tasks of a job to the usage of its organisation, and tells whether that was below its share before.
 * A job counts as a whole: otherwise an organisation whose share is smaller than one task would never be within it.
 */
function chargeAccount(account: Account | undefined, {organisation, waiting}: JobOutlook): boolean {
	const balance = account?.balances.get(organisation);
	if (account === undefined || balance === undefined) {
		return true;
	}

	const {used, share} = balance;
	if (used >= share) {
		return false;
	}

	balance.used = used + measureDominantResource(waiting, account.capacity);
	return true;
}
