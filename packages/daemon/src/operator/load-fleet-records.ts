import {applyEntry} from '@rosemaryquay/core/maintenance/apply-entry';
import {createPlanner} from '@rosemaryquay/core/maintenance/create-planner';
import {listPoolRules} from '@rosemaryquay/core/maintenance/list-pool-rules';
import {type Planner} from '@rosemaryquay/core/maintenance/planner';
import {type FleetContext} from './fleet-context.js';

/**
 * Reads all fleet records from the store.
 *
 * @param context - store and catalogue
 * @returns a planner that holds the records and rules and never acts, or `undefined` while the store does not answer
 * @example
 * const fleet = await loadFleet(context);
 */
export async function loadFleet(context: FleetContext): Promise<Planner | undefined> {
	const {store, prefix, catalogue} = context;
	const listing = await store.list(`${prefix}fleet/`);
	if (!listing.ok) {
		return undefined;
	}

	const fleet = createPlanner({id: 'reader', prefix});
	fleet.pools = listPoolRules(catalogue);
	for (const entry of listing.value.entries) {
		applyEntry(fleet, entry.key, entry);
	}

	return fleet;
}
