import {type Scheduler, type Worker} from '../state/scheduler.js';
import {countTrials} from './count-trials.js';
import {type Screening} from './screening.js';

/** Time after a task was given up in which further tasks of its service may crash their workers, in milliseconds. */
const screeningMs = 10_000;

/** Part of a service's workers on which the first tasks of steps are tried; one at least. */
const trialWorkerFraction = 0.5;

type Options = {readonly suspectedJobs: ReadonlyMap<string, number>; readonly schedulable: ReadonlyMap<string, readonly Worker[]>; readonly now: number};

/**
 * Plans which workers of a service may crash. While more jobs are suspected than run in isolation at once, or after a task
 * was given up, a step starts with one task, on one of these workers; the others follow once it has run for a time. So the
 * number of crashes depends on the number of jobs at fault, and not on the number that wait.
 *
 * @param scheduler - the state
 * @param options - number of jobs with a suspected task that waits and schedulable workers, each by service, and the local time in milliseconds
 * @returns the trial workers of the services in which tasks crash their workers
 * @example
 * planScreening(scheduler, {suspectedJobs, schedulable, now}).get('planner')?.trialWorkers;
 */
export function planScreening(scheduler: Scheduler, options: Options): Map<string, Screening> {
	const {schedulable, now} = options;
	const screenings = new Map<string, Screening>();
	for (const service of listAffectedServices(scheduler, options)) {
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

function listAffectedServices(scheduler: Scheduler, {suspectedJobs, schedulable, now}: Options): Set<string> {
	const services = new Set<string>();
	for (const [service, at] of scheduler.givenUpAt) {
		if (now - at < screeningMs) {
			services.add(service);
		}
	}

	for (const [service, count] of suspectedJobs) {
		// One of each job runs in isolation at a time. The few suspects after a single crash soon have.
		if (count > (schedulable.get(service)?.length ?? 0) * trialWorkerFraction) {
			services.add(service);
		}
	}

	return services;
}
