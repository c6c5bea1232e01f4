import {createJobPrefix} from './create-job-prefix.js';
import {type JobPart} from './keys.js';

/**
 * Names the key of a part of a job.
 *
 * @param id - identifier of the job
 * @param part - the part
 * @returns the key
 * @example
 * createJobKey('00000000000000a1', 'end');
 */
export function createJobKey(id: string, part: JobPart): string {
	return `${createJobPrefix(id)}${part}`;
}
