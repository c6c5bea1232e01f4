import {type FleetModel} from './fleet-model.js';

/** Time for orders under way after which a smaller capacity binds. */
const orderMs = 100;

/**
 * Changes the capacity of a modelled worker while it runs. Its entry in the store shows the change at once.
 *
 * @param fleet - the fleet; changed
 * @param id - id of the worker
 * @param options - the new capacity in thousandths of a core, and the time after which a smaller one binds
 * @example
 * resizeWorker(fleet, 'w1', {cpuMillis: 5000});
 */
export function resizeWorker(fleet: FleetModel, id: string, options: {cpuMillis: number; noticeMs?: number}): void {
	const {cpuMillis, noticeMs = orderMs} = options;
	const worker = fleet.workers.get(id);
	if (worker === undefined) {
		return;
	}

	const isSmaller = cpuMillis < worker.listing.capacity.cpuMillis;
	const listing = {...worker.listing, capacity: {...worker.listing.capacity, cpuMillis}};
	worker.listing = listing;
	fleet.dispatch({type: 'worker-listed', worker: listing});
	fleet.at(fleet.now + (isSmaller ? noticeMs : 0), () => {
		if (worker.listing === listing) {
			fleet.checker.addWorker(listing);
		}
	});
}
