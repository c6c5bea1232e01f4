import {applyEntry} from '@rosemaryquay/core/maintenance/apply-entry';
import {createPlanner} from '@rosemaryquay/core/maintenance/create-planner';
import {listPoolRules} from '@rosemaryquay/core/maintenance/list-pool-rules';
import {type Planner} from '@rosemaryquay/core/maintenance/planner';
import {type FleetContext} from './fleet-context.js';

/**
 * Loads all fleet records from the store.
 *
 * @param context - store and catalogue
 * @returns a planner that only contains the records and rules and gets no ticks, or `undefined` when the store does not answer
 * @example
 * const fleet = await loadFleetRecords(context);
 */
export async function loadFleetRecords(context: FleetContext): Promise<Planner | undefined> {
	const {store, prefix, catalogue} = context;
	const listing = await store.list(`${prefix}fleet/`);
	if (!listing.ok) {
		return undefined;
	}

	const fleet = createPlanner({id: 'reader', prefix});
	fleet.rulesByPool = listPoolRules(catalogue);
	for (const entry of listing.value.entries) {
		applyEntry(fleet, entry.key, entry);
	}

	return fleet;
}
