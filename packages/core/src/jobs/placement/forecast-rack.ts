import {estimateRunEnd} from '../estimates/estimate-run-end.js';
import {splitBySpeed} from '../estimates/split-by-speed.js';
import {staleWorkerMs} from '../state/constants.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';
import {addResources} from './add-resources.js';
import {getReservedResources} from './get-reserved-resources.js';
import {type Change, type RackForecast, type WorkerForecast} from './rack-forecast.js';

/**
 * Forecasts when capacity becomes free on a rack, from the tasks that run there. Workers that are slow or have not
 * answered lately are left out.
 *
 * @param scheduler - the state
 * @param rack - the rack
 * @param options - workers of the service that may get new tasks, and local time in milliseconds
 * @returns the changes of each worker, the earliest first
 * @example
 * forecastRack(scheduler, 'r1', {workers, now});
 */
export function forecastRack(scheduler: Scheduler, rack: string, options: {workers: readonly Worker[]; now: number}): RackForecast {
	const {workers, now} = options;
	const onRack = workers.filter(({listing, lastSeenAt}) => listing?.rack === rack && now - lastSeenAt < staleWorkerMs);
	const forecast = new Map<Worker, WorkerForecast>();
	for (const worker of splitBySpeed(scheduler.estimates, onRack, now).fast) {
		const changes: Change[] = [{at: now, resources: addResources(worker.listing?.capacity ?? worker.used, worker.used, -1)}];
		for (const task of worker.tasks) {
			const at = estimateRunEnd(scheduler, task, {worker, now});
			if (Number.isFinite(at)) {
				changes.push({at, resources: getReservedResources(task.group.definition)});
			}
		}

		forecast.set(worker, {changes: changes.toSorted((left, right) => left.at - right.at), room: undefined});
	}

	return forecast;
}
