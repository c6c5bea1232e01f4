import {type JobPart, jobParts, jobsPrefix} from './keys.js';

/**
 * Parses the store key of one part of an unfinished job.
 *
 * @param key - any store key
 * @returns identifier and part of the job; undefined for other keys
 * @example
 * parseJobKey(createJobKey('00000000000000a1', 'accepted'))?.part; // 'accepted'
 */
export function parseJobKey(key: string): {readonly id: string; readonly part: JobPart} | undefined {
	const [id, name, ...rest] = key.slice(jobsPrefix.length).split('/');
	const part = jobParts.find(candidate => candidate === name);
	return key.startsWith(jobsPrefix) && id !== undefined && part !== undefined && rest.length === 0 ? {id, part} : undefined;
}
