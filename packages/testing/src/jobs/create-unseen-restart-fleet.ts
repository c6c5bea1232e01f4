import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Virtual time at which the worker crashes. */
export const crashAt = 20_000;
const downMs = 4000;

/**
 * Creates a fleet whose worker `w1` crashes. Start orders wait for its next life, which carries them out, reaches neither
 * the store nor the owner, and is cut off soon.
 *
 * @param seed - seed of the random numbers
 * @returns the fleet, with the restart and the job scheduled
 * @example
 * createUnseenRestartFleet(1).runUntil(60_000);
 */
export function createUnseenRestartFleet(seed: number): FleetModel {
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(4)});
	fleet.takeOver();
	fleet.at(crashAt, () => {
		fleet.restartWorker('w1', downMs);
		fleet.unlistedWorkers.add('w1');
		fleet.unheardWorkers.add('w1');
	});
	fleet.at(crashAt + 50, () => {
		fleet.submit(createJob('long', {acceptedAtMs: fleet.now, steps: [{count: 12, cpuMillis: 4000, estimatedMs: 14_000}]}));
	});
	fleet.at(crashAt + downMs + 100, () => {
		fleet.silentWorkers.add('w1');
	});
	fleet.at(crashAt + 40_000, () => {
		fleet.silentWorkers.delete('w1');
		fleet.unheardWorkers.delete('w1');
		fleet.unlistedWorkers.delete('w1');
	});
	return fleet;
}
