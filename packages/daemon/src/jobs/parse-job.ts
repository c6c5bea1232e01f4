import {type Job, jobSchema} from '@rosemaryquay/core/jobs/job-schema';
import {parseWith} from './parse-with.js';

/**
 * Parses a stored job.
 *
 * @param value - JSON text
 * @returns the job; undefined when the text is invalid, for example because another program has written it
 * @example
 * parseJob(entry.value);
 */
export function parseJob(value: string): Job | undefined {
	return parseWith(jobSchema, value);
}
