import {progressPrefix} from './keys.js';

/**
 * Builds the store key of the progress of an unfinished job.
 *
 * @param id - identifier of the job
 * @returns the store key
 * @example
 * createProgressKey('00000000000000a1');
 */
export function createProgressKey(id: string): string {
	return `${progressPrefix}${id}`;
}
