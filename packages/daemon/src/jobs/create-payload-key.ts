import {payloadsPrefix} from './keys.js';

/**
 * Builds the store key of the payload of an unfinished job.
 *
 * @param id - identifier of the job
 * @returns the store key
 * @example
 * createPayloadKey('00000000000000a1');
 */
export function createPayloadKey(id: string): string {
	return `${payloadsPrefix}${id}`;
}
