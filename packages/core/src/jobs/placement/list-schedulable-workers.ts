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
	const avoided: Worker[] = [];
	for (const worker of scheduler.workers.values()) {
		if (!isSchedulable(scheduler, worker, now)) {
			continue;
		}

		if (now >= worker.backoffUntil) {
			add(schedulable, worker);
		} else if (now >= worker.retryDueAt) {
			avoided.push(worker);
		}
	}

	// Avoiding a worker is of no use to tasks that no other one can run.
	for (const worker of avoided.filter(({listing}) => !schedulable.has(listing?.service ?? ''))) {
		add(schedulable, worker);
	}

	return schedulable;
}

function add(schedulable: Map<string, Worker[]>, worker: Worker): void {
	const service = worker.listing?.service ?? '';
	const workers = schedulable.get(service);
	if (workers === undefined) {
		schedulable.set(service, [worker]);
	} else {
		workers.push(worker);
	}
}

/** Tells whether a worker may get new tasks once its back-off is over. */
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
		&& ![...worker.tasks].some(task => isIsolated(task, now))
		&& !scheduler.withdrawnZones.has(listing.availabilityZone)
		// After its back-off, a failing worker gets one task at a time.
		&& (worker.consecutiveFailures < failureThreshold || ![...worker.tasks].some(task => mayFail(task)));
}

/** Tells whether the end of a task will show whether its worker still fails; a long-running task that is up does not end. */
function mayFail({percent, group}: Task): boolean {
	return !group.definition.longRunning || percent < 100;
}
