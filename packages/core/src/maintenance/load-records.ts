import {applyEntry} from './apply-entry.js';
import {refreshInstanceStatus} from './refresh-instance-status.js';
import {type Planner, type PlannerEffect, type PlannerEventOf} from './planner.js';

/**
 * Loads all fleet records after the lease was acquired. A later tick retries a failed listing.
 *
 * @param planner - the planner, updated in place
 * @param event - the listing
 * @returns reports of invalid records
 * @example
 * const effects = loadRecords(planner, {type: 'store-listed', at: 5, id: 'load', outcome});
 */
export function loadRecords(planner: Planner, event: PlannerEventOf<'store-listed'>): PlannerEffect[] {
	const {lease} = planner;
	if (lease.type !== 'held' || !event.outcome.ok) {
		return [];
	}

	planner.lease = {...lease, loaded: true};
	const effects = event.outcome.value.entries.flatMap(entry => applyEntry(planner, entry.key, entry));
	refreshInstanceStatus(planner, event.at);
	return effects;
}
