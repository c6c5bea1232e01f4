import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Time at which the tasks are submitted. */
export const submittedAt = 20_000;

/** Time at which `w1` crashes. */
export const lateStartCrashAt = submittedAt + 200;

/** Which orders to `w1` are carried out late, and how. */
export type LateStarts = 'first orders under way, others lost' | 'all orders under way' | 'orders wait';

/** Time for which an order is under way, in milliseconds. */
const delayMs = 6000;

const handlers: Readonly<Record<LateStarts, (fleet: FleetModel, backAt: number) => void>> = {
	'first orders under way, others lost'(fleet, backAt) {
		fleet.callDelaysMs.set('w1', delayMs);
		fleet.at(lateStartCrashAt, () => {
			fleet.callDelaysMs.delete('w1');
			fleet.silentWorkers.add('w1');
		});
		fleet.at(backAt, () => {
			fleet.silentWorkers.delete('w1');
		});
	},
	'all orders under way'(fleet) {
		fleet.callDelaysMs.set('w1', delayMs);
		fleet.at(submittedAt + 3000, () => {
			fleet.callDelaysMs.delete('w1');
		});
	},
	'orders wait'(fleet) {
		fleet.callDelaysMs.set('w1', 700);
		fleet.at(lateStartCrashAt, () => {
			fleet.callDelaysMs.delete('w1');
		});
	},
};

/**
 * Creates a fleet in which long tasks are started on all workers. `w1` crashes 0.2 s after the first orders were sent, and its next
 * life carries orders out late.
 *
 * @param seed - seed of the random numbers
 * @param options - which orders are late, and the time for which the worker is down
 * @returns the fleet, at time 0
 * @example
 * createLateStartFleet(1, {lateStarts: 'orders wait', downMs: 5000}).runUntil(70_000);
 */
export function createLateStartFleet(seed: number, options: {lateStarts: LateStarts; downMs: number}): FleetModel {
	const {lateStarts, downMs} = options;
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(4)});
	fleet.takeOver();
	fleet.at(submittedAt, () => {
		handlers[lateStarts](fleet, lateStartCrashAt + downMs);
		fleet.submit(createJob('long', {acceptedAtMs: fleet.now, steps: [{count: 12, cpuMillis: 4000, estimatedMs: 14_000}]}));
	});
	fleet.at(lateStartCrashAt, () => {
		fleet.restartWorker('w1', downMs);
	});
	return fleet;
}
