import {type InstanceRecord} from './records.js';

/**
 * Finds the pool whose availability budget an instance record counts against.
 *
 * @param record - the record, `undefined` for a deleted one
 * @returns the pool, or `undefined` when the instance counts against no budget
 * @example
 * findChargedPool({...record, state: 'draining'}) === record.pool;
 */
export function findChargedPool(record: InstanceRecord | undefined): string | undefined {
	if (record === undefined || record.step === 'arrive') {
		return record?.home;
	}

	return record.home ?? (record.state === 'in-service' ? undefined : record.pool);
}
