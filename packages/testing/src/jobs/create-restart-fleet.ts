import {slowestClockRate} from '@rosemaryquay/core/jobs/state/constants';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Time at which the worker crashes; its clock is then further ahead than the longest lease and the longest delay of a call. */
export const crashAt = 20_000;

/** Time at which the worker is back; calls that were sent meanwhile have not timed out. */
export const backAt = crashAt + 500;

/** Time at which the long tasks are submitted unless the options say otherwise; the owner has seen the restart by then. */
export const longTasksAt = backAt + 600;

/** Duration of the long tasks in milliseconds; beyond the longest lease. */
const longTaskMs = 14_000;

/**
 * Creates a fleet of four workers with slow clocks. `w1` crashes and is back under its id, and calls for its earlier incarnation
 * wait for it: start orders of short tasks, if any, that let the owner see the restart. Long tasks on all workers follow.
 *
 * @param seed - seed of the random numbers
 * @param options - time at which the long tasks are submitted, and whether short ones wait for `w1`
 * @returns the fleet, at time 0
 * @example
 * createRestartFleet(1).runUntil(70_000);
 */
export function createRestartFleet(seed: number, options: {submitAt?: number; isSeen?: boolean} = {}): FleetModel {
	const {submitAt = longTasksAt, isSeen = true} = options;
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(4)});
	for (const worker of fleet.workers.values()) {
		worker.clockRate = slowestClockRate;
	}

	fleet.takeOver();
	fleet.at(crashAt, () => {
		fleet.restartWorker('w1', backAt - crashAt);
	});
	if (isSeen) {
		fleet.at(crashAt + 50, () => {
			fleet.submit(createJob('short', {acceptedAtMs: fleet.now, steps: [{count: 16, cpuMillis: 4000, estimatedMs: 200}]}));
		});
	}

	fleet.at(submitAt, () => {
		fleet.submit(createJob('long', {acceptedAtMs: fleet.now, steps: [{count: 12, cpuMillis: 4000, estimatedMs: longTaskMs}]}));
	});
	return fleet;
}
