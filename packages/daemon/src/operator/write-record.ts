import {type Store} from '@rosemaryquay/core/store/store';
import {type FleetResponse} from './fleet-context.js';
import {createFleetRefusal} from './create-fleet-refusal.js';

/**
 * Writes one record if it is still at the revision that the operator saw. A lost answer is resolved by reading the record
 * back.
 *
 * @param store - the store
 * @param options - key, new value and expected revision, 0 for an absent record
 * @returns status 200 with the new revision, or the refusal
 * @example
 * const response = await writeRecord(store, {key, value, revision: 12});
 */
export async function writeRecord(store: Store, options: {key: string; value: string; revision: number}): Promise<FleetResponse> {
	const {key, value, revision} = options;
	const written = await store.transact({
		compare: [{key, modRevision: revision}], success: [{type: 'put', key, value}], failure: [{type: 'get', key}],
	});
	if (written.ok) {
		return written.value.succeeded
			? {status: 200, body: {revision: written.value.revision}}
			: createFleetRefusal('conflict', {revision: written.value.entries[0]?.modRevision ?? 0});
	}

	if (written.reason !== 'outcome-unknown') {
		return createFleetRefusal('store-unavailable');
	}

	const read = await store.transact({compare: [], success: [{type: 'get', key}], failure: []});
	const entry = read.ok ? read.value.entries[0] : undefined;
	// The same value at another revision comes from this write, or from an equal command of another operator, which has the same effect.
	return entry?.value === value && entry.modRevision !== revision
		? {status: 200, body: {revision: entry.modRevision}}
		: createFleetRefusal('outcome-unknown');
}
