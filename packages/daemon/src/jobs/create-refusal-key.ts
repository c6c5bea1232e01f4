import {refusalsPrefix} from './keys.js';

/**
 * Builds the store key of the mark of a refused submission.
 *
 * @param id - identifier of the job
 * @returns the store key
 * @example
 * createRefusalKey('00000000000000a1');
 */
export function createRefusalKey(id: string): string {
	return `${refusalsPrefix}${id}`;
}
