import {isIsolated} from '../crashes/is-isolated.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ActiveJob, type Scheduler, type Worker} from '../state/scheduler.js';
import {countTrials} from './count-trials.js';
import {type Screening} from './screening.js';

/** Time after a task was given up in which further tasks of its service may crash their workers, in milliseconds. */
const screeningMs = 10_000;

/** Part of a service's workers on which the first tasks of steps are tried; one at least. */
const trialWorkerFraction = 0.5;

/**
 * Plans which workers of a service may crash. While some of its tasks are suspected, or one was given up, a step starts with
 * one task, on one of these workers; the others follow once it has run for a time. So the number of crashes depends on the
 * number of jobs at fault, and not on the number that wait.
 *
 * @param scheduler - the state
 * @param options - jobs with ready tasks, schedulable workers by service, and the local time in milliseconds
 * @returns the trial workers of the services in which tasks crash their workers
 * @example
 * planScreening(scheduler, {jobs, schedulable, now}).get('planner')?.trialWorkers;
 */
export function planScreening(scheduler: Scheduler, options: {jobs: readonly ActiveJob[]; schedulable: ReadonlyMap<string, readonly Worker[]>; now: number}): Map<string, Screening> {
	const {jobs, schedulable, now} = options;
	const screenings = new Map<string, Screening>();
	for (const service of listAffectedServices(scheduler, jobs, now)) {
		const workers = schedulable.get(service) ?? [];
		const count = Math.max(1, Math.ceil(workers.length * trialWorkerFraction));
		const trialWorkers = workers
			.map(worker => ({worker, trials: countTrials(worker), used: worker.used.cpuMillis}))
			.toSorted((left, right) => right.trials - left.trials || left.used - right.used)
			.slice(0, count)
			.map(({worker}) => worker);
		screenings.set(service, {trialWorkers});
	}

	return screenings;
}

function listAffectedServices(scheduler: Scheduler, jobs: readonly ActiveJob[], now: number): Set<string> {
	const services = new Set<string>();
	for (const [service, at] of scheduler.givenUpAt) {
		if (now - at < screeningMs) {
			services.add(service);
		}
	}

	for (const job of jobs) {
		if (hasSuspects(job)) {
			services.add(findQueuePolicy(scheduler, job).service);
		}
	}

	for (const {tasks} of scheduler.workers.values()) {
		for (const task of tasks) {
			if (!task.group.definition.longRunning && isIsolated(task, now)) {
				services.add(findQueuePolicy(scheduler, task.group.job).service);
			}
		}
	}

	return services;
}

function hasSuspects({occurrences}: ActiveJob): boolean {
	for (const steps of occurrences.values()) {
		for (const {groups} of steps) {
			if (groups.some(({suspected, done, definition}) => suspected && !done && !definition.longRunning)) {
				return true;
			}
		}
	}

	return false;
}
