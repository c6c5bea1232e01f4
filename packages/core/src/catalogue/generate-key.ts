import {Buffer} from 'node:buffer';
import {hashKey} from './hash-key.js';

/** Random bytes in a key, as many as its SHA-256 hash has. */
export const keyBytes = 32;

const keyPrefix = 'rq_';

/**
 * Generates an API key. Only the hash is stored; the key itself is shown once.
 *
 * @param random - `keyBytes` bytes of a cryptographic random source
 * @returns the key and its hash
 * @throws RangeError when there are fewer random bytes
 * @example
 * const {key, hash} = generateKey(randomBytes(keyBytes));
 */
export function generateKey(random: Uint8Array): {key: string; hash: string} {
	if (random.length < keyBytes) {
		throw new RangeError(`A key needs ${keyBytes} random bytes`);
	}

	const key = `${keyPrefix}${Buffer.from(random).toString('base64url')}`;
	return {key, hash: hashKey(key)};
}
