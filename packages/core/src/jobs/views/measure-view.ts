import {type QueueSummary} from '../state/effect.js';
import {type Scheduler} from '../state/scheduler.js';
import {measureBacklogs} from './measure-backlogs.js';
import {measurePoolViews} from './measure-pool-views.js';
import {type ShareView, type View} from './view-schema.js';

/** Maximum number of organisations of a service in the view, those with the most waiting work; also bounds the labels of the metrics. */
const maximumOrganisations = 20;

/**
 * Measures what operators can see of the schedule. It is bounded by the number of workers, pools and waiting jobs.
 *
 * @param scheduler - the state; histories of the forecasts and outlooks that are out of date are changed
 * @param options - summary of the queues, and local time in milliseconds
 * @returns the view
 * @example
 * measureView(scheduler, {queues, now}).pools;
 */
export function measureView(scheduler: Scheduler, options: {queues: Readonly<Record<string, QueueSummary>>; now: number}): View {
	const {queues, now} = options;
	return {
		term: scheduler.term,
		pools: measurePoolViews(scheduler, now),
		queues: Object.fromEntries(Object.entries(queues).map(([queue, {waiting}]) => [queue, waiting])),
		shares: listShares(scheduler),
		...measureBacklogs(scheduler, now),
	};
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
