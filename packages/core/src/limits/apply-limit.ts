import {type LimitRecord, type Portion} from './record.js';

/**
 * Puts another limit into a record. Portions that together exceed it keep their count until their
 * holders reduce it, and get caps that together stay within the limit.
 *
 * @param record - the record
 * @param limit - the limit
 * @param revision - catalogue revision of the limit
 * @returns the new record
 * @example
 * applyLimit(record, 50, 8);
 */
export function applyLimit(record: LimitRecord, limit: number, revision: number): LimitRecord {
	const held = Object.values(record.portions).reduce((sum, {count}) => sum + count, 0);
	const portions: Record<string, Portion> = {};
	for (const [holder, {cap: _cap, ...portion}] of Object.entries(record.portions)) {
		portions[holder] = held > limit ? {...portion, cap: Math.floor(portion.count * limit / held)} : portion;
	}

	return {limit, revision, portions};
}
