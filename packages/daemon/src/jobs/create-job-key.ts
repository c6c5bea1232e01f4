import {createJobPrefix} from './create-job-prefix.js';
import {type JobPart} from './keys.js';

/**
 * Builds the store key of one part of an unfinished job.
 *
 * @param id - identifier of the job
 * @param part - part of the job
 * @returns the store key
 * @example
 * createJobKey('00000000000000a1', 'accepted');
 */
export function createJobKey(id: string, part: JobPart): string {
	return `${createJobPrefix(id)}${part}`;
}
