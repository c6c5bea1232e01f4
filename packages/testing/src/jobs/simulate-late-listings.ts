import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel, type ModelledOwner} from './fleet-model.js';

const workerCount = 8;

/**
 * Simulates workers that restart under their ids, of which the owner learns from the store only after up to 1.5 s.
 *
 * @param seed - seed of the random numbers
 * @param options - time that each task takes, in milliseconds
 * @returns the fleet after 40 s, without unfinished jobs if all went well
 * @example
 * simulateLateListings(1, {taskMs: 300}).checker.violations;
 */
export function simulateLateListings(seed: number, options: {taskMs: number}): FleetModel {
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(workerCount)});
	const dispatch = fleet.dispatch.bind(fleet);
	fleet.dispatch = (event: SchedulerEvent, owner?: ModelledOwner) => {
		if (event.type !== 'worker-listed' || event.worker.startedAtMs === 1) {
			dispatch(event, owner);
			return;
		}

		fleet.at(Math.max(fleet.now, event.worker.startedAtMs + 1500), () => {
			dispatch(event, owner);
		});
	};

	fleet.takeOver();
	for (let at = 0; at < 12_000; at += 50) {
		fleet.at(at, () => {
			fleet.submit(createJob(`j${at}`, {acceptedAtMs: at, steps: [{count: 4, cpuMillis: 2000, estimatedMs: options.taskMs}]}));
		});
	}

	for (let at = 1000; at < 12_000; at += 250) {
		fleet.at(at, () => {
			fleet.restartWorker(`w${fleet.draw(1, workerCount)}`, fleet.draw(1, 300));
		});
	}

	fleet.runUntil(40_000);
	return fleet;
}
