import {type QueueSummary} from '../state/effect.js';
import {type Scheduler} from '../state/scheduler.js';
import {measureBacklogs} from './measure-backlogs.js';
import {measurePoolViews} from './measure-pool-views.js';
import {type JobWait} from './measure-waits.js';
import {type ShareView, type View, type WaitCount} from './view-schema.js';

/** Maximum number of organisations of a service in the view, those with the most waiting work; also bounds the labels of the metrics. */
const maximumOrganisations = 20;

/** Maximum number of jobs in the view with the reason for which they wait. */
const maximumWaits = 30;

/**
 * Measures what operators can see of the schedule. It is bounded by the number of workers, pools and waiting jobs.
 *
 * @param scheduler - the state; histories of the forecasts and outlooks that are out of date are changed
 * @param options - summary of the queues, jobs that wait, and local and wall-clock time in milliseconds
 * @returns the view
 * @example
 * measureView(scheduler, {queues, waits, now, timeOfDay}).pools;
 */
export function measureView(scheduler: Scheduler, options: {queues: Readonly<Record<string, QueueSummary>>; waits: readonly JobWait[]; now: number; timeOfDay: number}): View {
	const {queues, waits, now, timeOfDay} = options;
	return {
		term: scheduler.term,
		pools: measurePoolViews(scheduler, now),
		queues: Object.fromEntries(Object.entries(queues).map(([queue, {waiting}]) => [queue, waiting])),
		shares: listShares(scheduler),
		...measureBacklogs(scheduler, now),
		waitCounts: countWaits(waits),
		waits: waits.slice(0, maximumWaits).map(({job, reason, since}) => [job.definition.id, reason, roundTime(timeOfDay - (now - since))]),
	};
}

function countWaits(waits: readonly JobWait[]): WaitCount[] {
	const counts = new Map<string, {service: string; reason: string; jobs: number}>();
	for (const {service, reason} of waits) {
		const key = `${service} ${reason}`;
		const count = counts.get(key) ?? {service, reason, jobs: 0};
		count.jobs++;
		counts.set(key, count);
	}

	return [...counts.values()];
}

/** Rounds to seconds, so that the drift between the two clocks does not change the view. */
function roundTime(timeMs: number): number {
	return Math.round(timeMs / 1000) * 1000;
}

function listShares({contention}: Scheduler): ShareView[] {
	const shares: ShareView[] = [];
	for (const [service, {organisations}] of contention) {
		const competing = [...organisations].filter(([, {waiting}]) => waiting > 0).toSorted(([, left], [, right]) => right.waiting - left.waiting);
		for (const [organisation, {weight, used, waiting, share}] of competing.slice(0, maximumOrganisations)) {
			shares.push({
				service, organisation, weight, used: Math.round(used), waiting: Math.round(waiting), share: Math.round(share),
			});
		}
	}

	return shares.toSorted((left, right) => right.waiting - left.waiting);
}
