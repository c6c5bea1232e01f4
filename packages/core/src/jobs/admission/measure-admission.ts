import {type JobOutlook} from '../order/job-outlook.js';
import {lateObjectiveMultiple, takeoverSettlingMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type AdmissionRecord, type OrganisationWait} from './admission-record.js';
import {findUsefulUntil} from './find-useful-until.js';
import {maximumRecordAgeMs} from './maximum-record-age-ms.js';
import {measureCapacities} from './measure-capacities.js';
import {measureWaits} from './measure-waits.js';

/** Time in milliseconds after a takeover, or after a pause of the process, in which nothing is measured: workers and instances are not all known, and orders come first. */
const settlingMs = 3000;

/** Longest list of waits for one queue, so that a record has some kilobytes; organisations beyond it are admitted. */
const maximumWaits = 40;

/**
 * Measures which queues are overloaded, and how long new jobs of these wait in the best case. Its time is bounded by the
 * number of unfinished jobs, because it uses the outlooks that the order of jobs has measured.
 *
 * @param context - the reducer context
 * @returns the overloaded queues; none while the state of the fleet is uncertain
 * @example
 * measureAdmission(context)[0]?.organisations;
 */
export function measureAdmission(context: ReducerContext): AdmissionRecord['queues'] {
	const {scheduler, now} = context;
	const {tookOverAt, resumedAt, instanceListRequestedAt, workers, configuration, contention} = scheduler;
	if (now < Math.max(tookOverAt, resumedAt) + settlingMs || instanceListRequestedAt < tookOverAt + takeoverSettlingMs) {
		return [];
	}

	const outlooksByService = listOutlooks(context);
	const overtaken = configuration.queues.filter(({service, priority}) => outlooksByService.get(service)?.some(outlook => outlook.priority < priority));
	if (overtaken.length === 0 || hasUnreconciledWorker(workers.values(), now)) {
		return [];
	}

	const capacities = measureCapacities(context, new Set(overtaken.map(({service}) => service)));
	const queues: AdmissionRecord['queues'] = [];
	for (const {name, service, priority, targetLatencyMs} of overtaken) {
		const forecast = capacities.get(service);
		const capacityCpuMillis = forecast === undefined ? 0 : forecast.presentCpuMillis + forecast.laterCpuMillis;
		if (forecast === undefined || capacityCpuMillis <= 0) {
			continue;
		}

		const shares = contention.get(service);
		const waits = measureWaits({
			outlooks: outlooksByService.get(service) ?? [], forecast, shares, priority, now,
		});
		const organisations: OrganisationWait[] = [];
		for (const [organisation, bestWaitMs] of waits) {
			const waitMs = Math.floor(bestWaitMs - maximumRecordAgeMs);
			const balance = shares?.organisations.get(organisation);
			// No job of the queue can be refused for a shorter wait.
			if (waitMs > lateObjectiveMultiple * targetLatencyMs && waitMs > 0) {
				organisations.push({name: organisation, waitMs, isBeyondShare: balance !== undefined && balance.used > balance.share});
			}
		}

		if (organisations.length > 0) {
			organisations.sort((left, right) => right.waitMs - left.waitMs);
			queues.push({
				name, freeCpuMillis: Math.max(0, forecast.freeCpuMillis), capacityCpuMillis, organisations: organisations.slice(0, maximumWaits),
			});
		}
	}

	return queues;
}

/** Lists the outlooks of jobs that wait, by service. Jobs that have changed since their outlook was measured are left out, which makes a wait shorter only. */
function listOutlooks({scheduler}: ReducerContext): Map<string, JobOutlook[]> {
	const byService = new Map<string, JobOutlook[]>();
	for (const {outlook, changes, cancelled, end} of scheduler.jobs.values()) {
		if (outlook?.changes !== changes || cancelled || end !== undefined || outlook.isLongRunning || outlook.rating === 0 || outlook.waiting.cpuMillis === 0) {
			continue;
		}

		const outlooks = byService.get(outlook.service) ?? [];
		byService.set(outlook.service, outlooks);
		outlooks.push(outlook);
	}

	for (const outlooks of byService.values()) {
		outlooks.sort((left, right) => findUsefulUntil(right) - findUsefulUntil(left));
	}

	return byService;
}

function hasUnreconciledWorker(workers: Iterable<{readonly unreconciledUntil: number}>, now: number): boolean {
	for (const {unreconciledUntil} of workers) {
		if (unreconciledUntil > now) {
			return true;
		}
	}

	return false;
}
