import {fairTarget} from './fair-target.js';
import {type LimitRecord, type Portion} from './record.js';

/**
 * Grants what is free in a record to the holders that claim more than they have, up to their fair parts.
 *
 * @param record - the record
 * @param excluded - holders that get nothing
 * @returns the record with larger portions; their sum stays within the limit
 * @example
 * grantFree(record, ['entry-1']);
 */
export function grantFree(record: LimitRecord, excluded: readonly string[]): LimitRecord {
	let free = record.limit - Object.values(record.portions).reduce((sum, {count}) => sum + count, 0);
	if (free <= 0) {
		return record;
	}

	const portions: Record<string, Portion> = {};
	for (const [holder, portion] of Object.entries(record.portions)) {
		const claims = portion.wanted > portion.count && !excluded.includes(holder);
		const target = claims ? Math.min(portion.wanted, fairTarget(record, holder)) : portion.count;
		const granted = Math.max(0, Math.min(target - portion.count, free));
		free -= granted;
		portions[holder] = granted === 0 ? portion : {...portion, count: portion.count + granted};
	}

	return {...record, portions};
}
