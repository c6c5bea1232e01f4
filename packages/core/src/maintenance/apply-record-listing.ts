import {applyEntry} from './apply-entry.js';
import {refreshInstanceStatus} from './refresh-instance-status.js';
import {type Planner, type PlannerEffect, type PlannerEventOf} from './planner.js';

/**
 * Applies the listing of all fleet records that was requested when the lease was acquired. After a failed listing, a later
 * tick requests another.
 *
 * @param planner - the planner, updated in place
 * @param event - the listing
 * @returns reports of invalid records
 * @example
 * const effects = applyRecordListing(planner, {type: 'store-listed', at: 5, id: 'load', outcome});
 */
export function applyRecordListing(planner: Planner, event: PlannerEventOf<'store-listed'>): PlannerEffect[] {
	const {lease} = planner;
	if (lease.type !== 'held' || !event.outcome.ok) {
		return [];
	}

	planner.lease = {...lease, loaded: true};
	const effects = event.outcome.value.entries.flatMap(entry => applyEntry(planner, entry.key, entry));
	refreshInstanceStatus(planner, event.at);
	return effects;
}
