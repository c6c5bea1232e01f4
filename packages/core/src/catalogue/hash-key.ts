import {createHash} from 'node:crypto';

/**
 * Hashes an API key for storage in the catalogue.
 *
 * @param key - the key as a caller presents it
 * @returns the SHA-256 hash, hexadecimal
 * @example
 * snapshot.teamByKeyHash.get(hashKey(key));
 */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}
