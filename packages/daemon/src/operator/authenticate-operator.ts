import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {type Snapshot} from '@rosemaryquay/core/catalogue/create-snapshot';

const bearerPattern = /^bearer (?<key>\S{16,200})$/i;

/**
 * Finds the operator whose key is in an `Authorization` header. Compares every known key hash in constant time.
 *
 * @param authorization - value of the header
 * @param snapshot - the current catalogue
 * @param options - operators from the settings, as key hashes by name, which work before the first catalogue is loaded
 * @returns the operator's name, or `undefined` when the header carries no known key
 * @example
 * const operator = authenticateOperator(request.headers.authorization, node.snapshot);
 */
export function authenticateOperator(authorization: string | undefined, snapshot: Snapshot, options: {operators?: Readonly<Record<string, string>>} = {}): string | undefined {
	const {operators = {}} = options;
	const key = authorization === undefined ? undefined : bearerPattern.exec(authorization)?.groups?.key;
	if (key === undefined) {
		return undefined;
	}

	const presented = createHash('sha256').update(key).digest();
	let found: string | undefined;
	const keyHashes = [...snapshot.operatorByKeyHash, ...Object.entries(operators).map(([name, hash]): [string, string] => [hash, name])];
	for (const [hash, name] of keyHashes) {
		if (timingSafeEqual(presented, Buffer.from(hash, 'hex'))) {
			found = name;
		}
	}

	return found;
}
