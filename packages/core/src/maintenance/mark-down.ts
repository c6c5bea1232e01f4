import {type Planner} from './planner.js';

/**
 * Derives from the instance list and the withdrawn availability zones which instances are down,
 * which have no record yet and which the list no longer has. Runs for each list and not for each
 * tick, because it takes time in the size of the fleet.
 *
 * @param planner - the planner, updated in place
 * @param at - time of the event
 * @example
 * markDown(planner, event.at);
 */
export function markDown(planner: Planner, at: number): void {
	planner.down.clear();
	for (const [id, {value: record}] of planner.instances) {
		const listed = planner.listed.get(id);
		// The list lags: `leaving` may be older than the confirmation that the instance is back.
		const returnedAt = planner.returnedAt.get(id);
		const isBack = returnedAt !== undefined && at < returnedAt + planner.settings.listLimitMs && listed?.state === 'leaving';
		if ((listed?.state !== 'live' && !isBack) || planner.withdrawn.has(record.zone)) {
			planner.down.add(id);
		}

		if (returnedAt !== undefined && !isBack) {
			planner.returnedAt.delete(id);
		}

		if (listed !== undefined) {
			planner.missingSince.delete(id);
		} else if (!planner.missingSince.has(id)) {
			planner.missingSince.set(id, at);
		}
	}

	planner.arrivals = [];
	for (const [id, {state}] of planner.listed) {
		if (state === 'live' && !planner.instances.has(id)) {
			planner.arrivals.push(id);
		}
	}
}
