import {slowestClockRate, taskLeaseMs} from '@rosemaryquay/core/jobs/state/constants';
import {crashAt} from './create-forgotten-worker-fleet.js';
import {type FleetModel} from './fleet-model.js';

/**
 * Lets the next life of `w1` carry out a request for a report that the first owner sent to the earlier life just before its
 * crash.
 *
 * @param fleet - the fleet
 * @param at - virtual time at which it arrives
 * @example
 * carryOutLateReport(fleet, backAt + 1);
 */
export function carryOutLateReport(fleet: FleetModel, at: number): void {
	fleet.at(at, () => {
		fleet.workers.get('w1')?.report(at, {
			fence: 1, storedEnd: 0, leaseUntilMs: Math.floor(crashAt * slowestClockRate) + taskLeaseMs, willReachOwner: false,
		});
	});
}
