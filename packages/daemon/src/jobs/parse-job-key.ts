import {type JobPart, jobParts, jobsPrefix} from './keys.js';

/**
 * Splits the key of a part of a job.
 *
 * @param key - a key of the store
 * @returns identifier and part; undefined for other keys
 * @example
 * parseJobKey(createJobKey('00000000000000a1', 'end'))?.part; // 'end'
 */
export function parseJobKey(key: string): {readonly id: string; readonly part: JobPart} | undefined {
	const [id, name, ...rest] = key.slice(jobsPrefix.length).split('/');
	const part = jobParts.find(candidate => candidate === name);
	return key.startsWith(jobsPrefix) && id !== undefined && part !== undefined && rest.length === 0 ? {id, part} : undefined;
}
