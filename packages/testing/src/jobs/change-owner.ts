import {type FleetModel} from './fleet-model.js';

/**
 * Kills the owner at a virtual time, and lets the next one take over later.
 *
 * @param fleet - the fleet; changed
 * @param at - times of the kill and of the takeover in milliseconds
 * @example
 * changeOwner(fleet, {killedAt: 21_600, takenOverAt: 22_600});
 */
export function changeOwner(fleet: FleetModel, at: {killedAt: number; takenOverAt: number}): void {
	fleet.at(at.killedAt, () => {
		fleet.killOwner();
	});
	fleet.at(at.takenOverAt, () => {
		fleet.takeOver();
	});
}
