import {type Planner} from './planner.js';

/**
 * Derives from the instance list and the withdrawn availability zones which instances are not live, which have no record yet
 * and which are missing from the list. Runs when a list, the records or the rules are loaded rather than at each tick,
 * because it iterates over the whole fleet.
 *
 * @param planner - the planner, updated in place
 * @param at - time of the event
 * @example
 * refreshInstanceStatus(planner, event.at);
 */
export function refreshInstanceStatus(planner: Planner, at: number): void {
	planner.notLive.clear();
	for (const [id, {value: record}] of planner.instances) {
		const listed = planner.listedInstances.get(id);
		// The list lags, so it may still show `leaving` after the platform has confirmed the return of the instance.
		const returnedAt = planner.returnedAt.get(id);
		const isReturnConfirmed = returnedAt !== undefined && at < returnedAt + planner.settings.maximumListAgeMs && listed?.state === 'leaving';
		if ((listed?.state !== 'live' && !isReturnConfirmed) || planner.withdrawnZones.has(record.zone)) {
			planner.notLive.add(id);
		}

		if (returnedAt !== undefined && !isReturnConfirmed) {
			planner.returnedAt.delete(id);
		}

		if (listed !== undefined) {
			planner.missingSince.delete(id);
		} else if (!planner.missingSince.has(id)) {
			planner.missingSince.set(id, at);
		}
	}

	planner.newInstances = [];
	for (const [id, {state}] of planner.listedInstances) {
		if (state === 'live' && !planner.instances.has(id)) {
			planner.newInstances.push(id);
		}
	}
}
