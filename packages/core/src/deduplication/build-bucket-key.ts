import {claimBucketsPerPartition, claimPartitions} from '../constants.js';
import {hashText} from '../hash-text.js';

/**
 * Builds the store key of the bucket that holds a claim. All processes map a claim key to the same
 * store key, so that a compare-and-swap on it decides between concurrent submissions.
 *
 * @param prefix - prefix of all store keys
 * @param key - claim key: team and idempotency key
 * @returns the store key
 * @example
 * buildBucketKey('rosemaryquay/', 'team-a/order-7');
 */
export function buildBucketKey(prefix: string, key: string): string {
	const hash = hashText(key);
	const partition = hash % claimPartitions;
	const bucket = Math.floor(hash / claimPartitions) % claimBucketsPerPartition;
	return `${prefix}claims/${partition}/${bucket}`;
}
