import {createHash} from 'node:crypto';

/**
 * Hashes a key as the catalogue stores it.
 *
 * @param key - the key as a caller presents it
 * @returns its SHA-256 hash, hexadecimal
 * @example
 * snapshot.teamByKeyHash.get(hashKey(key));
 */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}
