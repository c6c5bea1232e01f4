import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const workerCount = 8;

/**
 * Simulates a fleet whose workers restart under their ids every 250 ms, across a change of owner.
 *
 * @param seed - seed of the random numbers
 * @param faults - numbers of orders in a thousand that are carried out late, or whose answer is lost
 * @returns the fleet after 60 s, without unfinished jobs if all went well
 * @example
 * simulateWorkerRestarts(1, {lateOrdersPerThousand: 100}).checker.violations;
 */
export function simulateWorkerRestarts(seed: number, faults: Partial<Pick<FleetModel, 'lateOrdersPerThousand' | 'lostAnswersPerThousand'>>): FleetModel {
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(workerCount)});
	Object.assign(fleet, faults);
	fleet.takeOver();
	for (let at = 0; at < 12_000; at += 100) {
		fleet.at(at, () => {
			fleet.submit(createJob(`j${at}`, {
				acceptedAtMs: at, steps: [{count: 4, cpuMillis: 2000, estimatedMs: 300}, {
					count: 2, cpuMillis: 2000, estimatedMs: 900, after: [0],
				}],
			}));
		});
	}

	for (let at = 1000; at < 12_000; at += 250) {
		fleet.at(at, () => {
			fleet.restartWorker(`w${fleet.draw(1, workerCount)}`, fleet.draw(20, 1500));
		});
	}

	fleet.at(5000 + (seed * 13), () => {
		fleet.killOwner();
	});
	fleet.at(7400 + (seed * 13), () => {
		fleet.takeOver();
	});
	fleet.at(14_000, () => {
		fleet.lateOrdersPerThousand = 0;
		fleet.lostAnswersPerThousand = 0;
	});
	fleet.runUntil(60_000);
	return fleet;
}
