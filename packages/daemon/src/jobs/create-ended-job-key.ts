import {endedJobsPrefix} from './keys.js';

/**
 * Builds the store key of the record of an ended job.
 *
 * @param id - identifier of the job
 * @returns the store key
 * @example
 * createEndedJobKey('00000000000000a1');
 */
export function createEndedJobKey(id: string): string {
	return `${endedJobsPrefix}${id}`;
}
