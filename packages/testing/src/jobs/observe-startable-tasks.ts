import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type FleetModel} from './fleet-model.js';
import {listStartableTasks} from './list-startable-tasks.js';
import {type WorkerModel} from './worker-model.js';

/** Interval between two observations in milliseconds. */
const intervalMs = 100;

/** Time after which a task that could run must have started, in milliseconds. */
const startWithinMs = 3000;

/** Time after which a worker that has started, or can be reached again, counts, in milliseconds. */
const settlingMs = 1000;

/** A task that could have run for too long. */
export type LateStart = {readonly task: string; readonly since: number; readonly reportedAt: number};

/**
 * Observes which tasks could run and don't start in time.
 *
 * @param fleet - the fleet
 * @param options - gets the configuration in force, time from which tasks are observed, end of the observation, and which jobs count
 * @returns the tasks that did not start in time, one for each job; filled while the fleet runs
 * @example
 * const late = observeStartableTasks(fleet, {getConfiguration, from: 34_000, until: 50_000});
 */
export function observeStartableTasks(fleet: FleetModel, options: {getConfiguration: () => Configuration; from: number; until: number; counts?: (task: string) => boolean}): LateStart[] {
	const {getConfiguration, from, until, counts = () => true} = options;
	const late: LateStart[] = [];
	const startableSince = new Map<string, number>();
	const usableSince = new Map<WorkerModel, number>();
	const observe = (): void => {
		for (const [id, worker] of fleet.workers) {
			if (!worker.isAlive || fleet.silentWorkers.has(id)) {
				usableSince.delete(worker);
			} else if (!usableSince.has(worker)) {
				usableSince.set(worker, fleet.now);
			}
		}

		const startable = new Set(listStartableTasks(fleet, getConfiguration(), worker => fleet.now - (usableSince.get(worker) ?? fleet.now) >= settlingMs).filter(task => counts(task)).map(task => getObserved(fleet, task)));
		for (const observed of startableSince.keys()) {
			if (!startable.has(observed)) {
				startableSince.delete(observed);
			}
		}

		for (const observed of startable) {
			const since = startableSince.get(observed) ?? fleet.now;
			startableSince.set(observed, since);
			if (fleet.now - since >= startWithinMs && !late.some(({task}) => task === observed)) {
				late.push({task: observed, since, reportedAt: fleet.now});
			}
		}

		if (fleet.now + intervalMs <= until) {
			fleet.at(fleet.now + intervalMs, observe);
		}
	};

	fleet.at(from, observe);
	return late;
}

/** A job counts as a whole, and a long-running one by its tasks. */
function getObserved(fleet: FleetModel, task: string): string {
	const [job = '', , position] = task.split('.');
	return fleet.storedJobs.get(job)?.job.steps[Number(position)]?.longRunning ? task : job;
}
