import {slowestClockRate} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {measureLateLease} from './measure-late-lease.js';

/** Interval of the reviews; workers that restart together share one write of the list of holders. */
const reviewIntervalMs = 1000;

/**
 * Notes the incarnations of workers that hold no longer lease than this owner grants, so that the list of holders names
 * them and the next owner need not wait for the longest lease.
 *
 * @param context - the reducer context; its state is changed
 * @example
 * reviewLeases(context);
 */
export function reviewLeases(context: ReducerContext): void {
	const {scheduler, now} = context;
	if (now < scheduler.leaseReviewDueAt) {
		return;
	}

	scheduler.leaseReviewDueAt = now + reviewIntervalMs;
	for (const worker of scheduler.workers.values()) {
		if (worker.boundedStartedAtMs === worker.startedAtMs || !worker.acknowledgedOwner || Math.max(measureLongestRemainder(worker, now), measureLateLease(context, worker)) > scheduler.leaseMs) {
			continue;
		}

		worker.boundedStartedAtMs = worker.startedAtMs;
		scheduler.holdersDirty = true;
	}
}

/** Measures the remaining time of the worker's lease on the slowest clock that it may have, in milliseconds of that clock. */
function measureLongestRemainder({leaseUntilMs, clockMs, clockReadAt}: Worker, now: number): number {
	return leaseUntilMs - clockMs - ((now - clockReadAt) * slowestClockRate);
}
