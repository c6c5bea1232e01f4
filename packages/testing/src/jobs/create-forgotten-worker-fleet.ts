import {slowestClockRate} from '@rosemaryquay/core/jobs/state/constants';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Virtual time at which the worker crashes. */
export const crashAt = 20_000;
/** Virtual time at which the worker is back. */
export const backAt = crashAt + 6000;
/** Virtual time at which long tasks start on it. */
export const longTasksAt = backAt + 300;

/**
 * Creates a fleet whose worker `w1` is down until its entry has lapsed and the owner has forgotten it. Long tasks follow
 * while the other workers are full.
 *
 * @param seed - seed of the random numbers
 * @returns the fleet, with the restart and the jobs scheduled
 * @example
 * createForgottenWorkerFleet(1).runUntil(60_000);
 */
export function createForgottenWorkerFleet(seed: number): FleetModel {
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(4)});
	for (const worker of fleet.workers.values()) {
		worker.clockRate = slowestClockRate;
	}

	fleet.takeOver();
	fleet.at(crashAt - 500, () => {
		fleet.submit(createJob('short', {acceptedAtMs: fleet.now, steps: [{count: 12, cpuMillis: 4000, estimatedMs: 300}]}));
	});
	fleet.at(backAt - 1500, () => {
		fleet.submit(createJob('beside', {acceptedAtMs: fleet.now, steps: [{count: 12, cpuMillis: 4000, estimatedMs: 3000}]}));
	});
	fleet.at(crashAt, () => {
		fleet.restartWorker('w1', backAt - crashAt);
	});
	fleet.at(longTasksAt, () => {
		fleet.submit(createJob('long', {acceptedAtMs: fleet.now, steps: [{count: 4, cpuMillis: 4000, estimatedMs: 14_000}]}));
	});
	return fleet;
}
