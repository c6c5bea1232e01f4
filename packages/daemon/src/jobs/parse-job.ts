import {type Job, jobSchema} from '@rosemaryquay/core/jobs/state/job-schema';
import {parseStoredValue} from './parse-stored-value.js';

/**
 * Parses a stored job.
 *
 * @param value - JSON text
 * @returns the job; undefined when the text is invalid, for example because another program has written it
 * @example
 * parseJob(entry.value);
 */
export function parseJob(value: string): Job | undefined {
	return parseStoredValue(jobSchema, value);
}
