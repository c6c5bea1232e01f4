import {type InstanceRecord} from './records.js';

/**
 * Finds the pool whose availability budget an instance record counts against. A lent instance counts against its home pool
 * throughout; an instance that arrives by another move does not count against its new pool yet.
 *
 * @param record - the record, `undefined` for a deleted one
 * @returns the pool, or `undefined` when the instance counts against no budget
 * @example
 * findBudgetPool({...record, state: 'draining'}) === record.pool;
 */
export function findBudgetPool(record: InstanceRecord | undefined): string | undefined {
	if (record === undefined || record.step === 'arrive') {
		return record?.home;
	}

	return record.home ?? (record.state === 'in-service' ? undefined : record.pool);
}
