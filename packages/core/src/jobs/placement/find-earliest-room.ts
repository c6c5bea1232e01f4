import {type Resources} from '../state/configuration-schema.js';
import {addResources} from './add-resources.js';
import {fitsInto} from './fits-into.js';
import {type WorkerForecast} from './rack-forecast.js';

/**
 * Finds the time from which a worker is expected to have room for a task beside all tasks that are already expected there.
 *
 * @param forecast - forecast of the worker; the result is kept in it
 * @param need - resources of the task
 * @returns local time in milliseconds; infinity if the task never fits
 * @example
 * findEarliestRoom(forecast, need) - now;
 */
export function findEarliestRoom(forecast: WorkerForecast, need: Resources): number {
	const {changes, room} = forecast;
	if (room?.need.cpuMillis === need.cpuMillis && room.need.memoryMb === need.memoryMb && room.need.accelerators === need.accelerators) {
		return room.at;
	}

	let free: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
	let earliest = Number.POSITIVE_INFINITY;
	for (const {at, resources} of changes) {
		free = addResources(free, resources);
		earliest = fitsInto(need, free) ? Math.min(earliest, at) : Number.POSITIVE_INFINITY;
	}

	forecast.room = {need, at: earliest};
	return earliest;
}
