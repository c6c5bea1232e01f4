import {jobsPrefix} from './keys.js';

/**
 * Names the prefix of all keys of one job.
 *
 * @param id - identifier of the job
 * @returns the prefix
 * @example
 * createJobPrefix('00000000000000a1');
 */
export function createJobPrefix(id: string): string {
	return `${jobsPrefix}${id}/`;
}
