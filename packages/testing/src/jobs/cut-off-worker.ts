import assert from 'node:assert/strict';
import {type FleetModel} from './fleet-model.js';

/**
 * Cuts off `w1` at a virtual time: it runs on, receives nothing and is not heard.
 *
 * @param fleet - the fleet; changed
 * @param at - virtual time in milliseconds
 * @throws {Error} when it runs no long task at that time, so that the simulation would show nothing
 * @example
 * cutOffWorker(fleet, 21_900);
 */
export function cutOffWorker(fleet: FleetModel, at: number): void {
	fleet.at(at, () => {
		const running = fleet.workers.get('w1')?.running ?? [];
		assert.ok(running.some(task => task.startsWith('long')), 'w1 runs no long task when it is cut off');
		fleet.silentWorkers.add('w1');
	});
}
