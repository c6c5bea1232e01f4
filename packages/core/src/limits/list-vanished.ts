import {reclaimDelayMs} from '../constants.js';
import {type Node} from '../node/node.js';
import {describeRegistration} from './describe-registration.js';
import {type LimitRecord} from './record.js';

/**
 * Lists the holders of a record whose portions may be reclaimed, subject to the transaction's check
 * that their member records are absent.
 *
 * @param node - the node
 * @param record - the record
 * @returns the holders that have been absent under the portion's registration for the reclaim delay
 * @example
 * listVanished(node, view.record);
 */
export function listVanished(node: Node, record: LimitRecord): string[] {
	const {absentSince} = node.limits.liveness;
	const vanished: string[] = [];
	for (const [holder, {registration}] of Object.entries(record.portions)) {
		const since = absentSince.get(describeRegistration(holder, registration));
		if (holder !== node.id && since !== undefined && node.limits.now - since >= reclaimDelayMs) {
			vanished.push(holder);
		}
	}

	return vanished;
}
