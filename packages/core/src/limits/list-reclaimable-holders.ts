import {reclaimDelayMs} from '../constants.js';
import {type Node} from '../node/node.js';
import {formatRegistrationKey} from './format-registration-key.js';
import {type LimitRecord} from './record.js';

/**
 * Lists the holders of a record whose portions may be reclaimed, subject to the transaction's check
 * that their member records are absent.
 *
 * @param node - the node
 * @param record - the record
 * @returns the holders that have been absent under the portion's registration for the reclaim delay
 * @example
 * listReclaimableHolders(node, cached.record);
 */
export function listReclaimableHolders(node: Node, record: LimitRecord): string[] {
	const {absentSince} = node.limits.liveness;
	const reclaimable: string[] = [];
	for (const [holder, {registration}] of Object.entries(record.portions)) {
		const since = absentSince.get(formatRegistrationKey(holder, registration));
		if (holder !== node.id && since !== undefined && node.limits.now - since >= reclaimDelayMs) {
			reclaimable.push(holder);
		}
	}

	return reclaimable;
}
