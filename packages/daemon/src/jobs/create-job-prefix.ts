import {jobsPrefix} from './keys.js';

/**
 * Builds the prefix that all store keys of one job share.
 *
 * @param id - identifier of the job
 * @returns the prefix, with a trailing slash
 * @example
 * createJobPrefix('00000000000000a1');
 */
export function createJobPrefix(id: string): string {
	return `${jobsPrefix}${id}/`;
}
