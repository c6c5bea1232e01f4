import {computeFairShare} from './compute-fair-share.js';
import {type LimitRecord, type Portion} from './record.js';

/**
 * Grants the free slots of a limit to the holders that want more than they have, up to their fair shares.
 *
 * @param record - the record
 * @param excluded - holders that are granted nothing
 * @returns the record with larger portions; their sum stays within the limit
 * @example
 * grantFreeSlots(record, ['entry-1']);
 */
export function grantFreeSlots(record: LimitRecord, excluded: readonly string[]): LimitRecord {
	let free = record.limit - Object.values(record.portions).reduce((sum, {count}) => sum + count, 0);
	if (free <= 0) {
		return record;
	}

	const portions: Record<string, Portion> = {};
	for (const [holder, portion] of Object.entries(record.portions)) {
		const wantsMore = portion.wanted > portion.count && !excluded.includes(holder);
		const target = wantsMore ? Math.min(portion.wanted, computeFairShare(record, holder)) : portion.count;
		const granted = Math.max(0, Math.min(target - portion.count, free));
		free -= granted;
		portions[holder] = granted === 0 ? portion : {...portion, count: portion.count + granted};
	}

	return {...record, portions};
}
