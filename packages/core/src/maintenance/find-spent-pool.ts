import {type InstanceRecord} from './records.js';

/**
 * Names the pool whose budget a record spends.
 *
 * @param record - the record, `undefined` for a deleted one
 * @returns the pool, or `undefined` when the record spends nothing
 * @example
 * findSpentPool({...record, state: 'draining'}) === record.pool;
 */
export function findSpentPool(record: InstanceRecord | undefined): string | undefined {
	if (record === undefined || record.step === 'arrive') {
		return record?.home;
	}

	return record.home ?? (record.state === 'in-service' ? undefined : record.pool);
}
