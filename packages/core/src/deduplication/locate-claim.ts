import {claimBucketsPerPartition, claimPartitions} from '../constants.js';
import {hashText} from '../hash-text.js';

/**
 * Finds the store key that holds the claim of an idempotency key. One claim key has one store key
 * on all instances, so that compare-and-swap on it decides between racing submissions.
 *
 * @param prefix - prefix of the system's keys
 * @param key - claim key: team and idempotency key
 * @returns the store key
 * @example
 * locateClaim('rosemaryquay/', 'team-a/order-7');
 */
export function locateClaim(prefix: string, key: string): string {
	const hash = hashText(key);
	const partition = hash % claimPartitions;
	const bucket = Math.floor(hash / claimPartitions) % claimBucketsPerPartition;
	return `${prefix}claims/${partition}/${bucket}`;
}
