import {payloadsPrefix} from './keys.js';

/**
 * Parses the store key of the payload of a job.
 *
 * @param key - any store key
 * @returns identifier of the job; undefined for other keys
 * @example
 * parsePayloadKey(createPayloadKey('00000000000000a1')); // '00000000000000a1'
 */
export function parsePayloadKey(key: string): string | undefined {
	return key.startsWith(payloadsPrefix) ? key.slice(payloadsPrefix.length) : undefined;
}
