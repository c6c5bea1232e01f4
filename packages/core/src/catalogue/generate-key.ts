import {Buffer} from 'node:buffer';
import {hashKey} from './hash-key.js';

/** Bytes of randomness in a key; as many as its hash keeps. */
export const keyBytes = 32;

const prefix = 'rq_';

/**
 * Generates a key. Only the hash is stored; the key itself is shown once.
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

	const key = `${prefix}${Buffer.from(random).toString('base64url')}`;
	return {key, hash: hashKey(key)};
}
