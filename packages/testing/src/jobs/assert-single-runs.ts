import assert from 'node:assert/strict';
import {type FleetModel} from './fleet-model.js';

/** Time by which all long tasks have ended, also those that are started again late. */
const endsAt = 90_000;

/**
 * Runs fleets to their end; no guarantee may be violated at any time, and all jobs have to end.
 *
 * @param create - creates the fleet of a seed
 * @throws {Error} when a fleet violates a guarantee, or has a job without an end
 * @example
 * assertSingleRuns(seed => createRestartFleet(seed));
 */
export function assertSingleRuns(create: (seed: number) => FleetModel): void {
	for (let seed = 1; seed <= 5; seed++) {
		const fleet = create(seed);
		fleet.runUntil(endsAt);
		assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
		assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
	}
}
