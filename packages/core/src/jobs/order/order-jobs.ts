import {measureDominantResource} from '../placement/measure-dominant-resource.js';
import {type Resources} from '../state/configuration-schema.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {averageUsage} from './average-usage.js';
import {computeShares} from './compute-shares.js';
import {type JobOutlook} from './job-outlook.js';
import {measureOutlook} from './measure-outlook.js';
import {measureUsage} from './measure-usage.js';
import {rateJob} from './rate-job.js';
import {sortOutlooks} from './sort-outlooks.js';

/** Usage of an organisation, in thousandths of a core by the dominant resource, as it grows in the order of placement. */
type Balance = {used: number; readonly share: number};

type Account = {readonly capacity: Resources; readonly balances: ReadonlyMap<string, Balance>};

/** Ratio between two classes of ratings; smaller differences come from the error of learned run times; wider classes ignore real differences in value. */
const ratingClassRatio = 1.03;

/** Width of a class of ratings in log space. */
const ratingClassWidth = Math.log(ratingClassRatio);

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
	scheduler.orderNumber++;
	const outlooks: JobOutlook[] = [];
	let previousPosition = -1;
	let isRearranged = false;
	for (const job of jobs) {
		const outlook = measureOutlook(scheduler, job, now);
		if (outlook.decision === scheduler.orderNumber - 1) {
			isRearranged ||= outlook.position < previousPosition;
			previousPosition = outlook.position;
		}

		updateRating(outlook, {decision: scheduler.orderNumber, now});
		outlook.position = outlooks.length;
		outlooks.push(outlook);
	}

	const accounts = openAccounts(scheduler, outlooks, now);
	const sorted = sortOutlooks(outlooks, isRearranged ? undefined : scheduler.previousOrder, scheduler.orderNumber);
	scheduler.previousOrder = sorted;
	const ordered: ActiveJob[] = [];
	const beyond: ActiveJob[] = [];
	const useless: ActiveJob[] = [];
	for (const outlook of sorted) {
		const isWithinShare = accounts.size === 0 || chargeAccount(accounts.get(outlook.service), outlook);
		if (outlook.rating === 0) {
			useless.push(outlook.job);
		} else if (isWithinShare || outlook.isLongRunning) {
			ordered.push(outlook.job);
		} else {
			beyond.push(outlook.job);
		}
	}

	const placementOrder = [...ordered, ...beyond, ...useless];
	scheduler.placementOrder = placementOrder;
	return placementOrder;
}

/** Rates a job at a decision on the order, and notes whether its place may differ from that at the previous decision. */
function updateRating(outlook: JobOutlook, {decision, now}: {decision: number; now: number}): void {
	const rating = outlook.isLongRunning ? 1 : rateJob(outlook, now - outlook.dueAt);
	let hasChanged = outlook.decision !== decision - 1;
	if (rating !== outlook.rating) {
		const ratingClass = classifyRating(rating);
		hasChanged ||= ratingClass !== outlook.ratingClass || rating === 0 !== (outlook.rating === 0);
		outlook.rating = rating;
		outlook.ratingClass = ratingClass;
	}

	outlook.decision = decision;
	if (hasChanged) {
		outlook.changedAtDecision = decision;
	}
}

/** Ratings of one class count as equal: learned run times differ a little between equal jobs, and newer jobs would else be placed before older ones. */
function classifyRating(rating: number): number {
	return rating === 0 ? 0 : Math.round(Math.log(rating) / ratingClassWidth);
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
		let byOrganisation = byService.get(service);
		if (byOrganisation === undefined) {
			byOrganisation = new Map<string, Resources>();
			byService.set(service, byOrganisation);
		}

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
