import {failureThreshold} from '../state/constants.js';
import {isIsolated} from '../crashes/is-isolated.js';
import {type Scheduler, type Task, type Worker} from '../state/scheduler.js';

/**
 * Lists the workers of each service that may get new tasks.
 *
 * @param scheduler - the state
 * @param now - local time in milliseconds
 * @returns the workers by service
 * @example
 * listSchedulableWorkers(scheduler, now).get('alerts');
 */
export function listSchedulableWorkers(scheduler: Scheduler, now: number): Map<string, Worker[]> {
	const schedulable = new Map<string, Worker[]>();
	for (const worker of scheduler.workers.values()) {
		if (worker.listing === undefined || !isSchedulable(scheduler, worker, now)) {
			continue;
		}

		const workers = schedulable.get(worker.listing.service);
		if (workers === undefined) {
			schedulable.set(worker.listing.service, [worker]);
		} else {
			workers.push(worker);
		}
	}

	return schedulable;
}

function isSchedulable(scheduler: Scheduler, worker: Worker, now: number): boolean {
	const {listing} = worker;
	return listing !== undefined
		&& worker.acknowledgedOwner
		// The entry of an earlier incarnation may show another capacity and other labels.
		&& listing.startedAtMs >= worker.startedAtMs
		// The next owner asks only recorded holders for their tasks.
		&& worker.recordedAsHolder
		&& !worker.unresponsive
		&& !listing.leaving
		&& !worker.cordoned
		&& !worker.hasStrayRuns
		&& now >= worker.backoffUntil
		&& ![...worker.tasks].some(task => isIsolated(task, now))
		&& !scheduler.withdrawnZones.has(listing.availabilityZone)
		// After its back-off, a failing worker gets one task at a time.
		&& (worker.consecutiveFailures < failureThreshold || ![...worker.tasks].some(task => mayFail(task)));
}

/** Tells whether the end of a task will show whether its worker still fails; a long-running task that is up does not end. */
function mayFail({percent, group}: Task): boolean {
	return !group.definition.longRunning || percent < 100;
}
