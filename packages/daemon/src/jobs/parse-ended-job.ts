import {type EndedJob, endedJobSchema} from '@rosemaryquay/core/jobs/state/job-schema';
import {parseStoredValue} from './parse-stored-value.js';

/**
 * Parses the record of an ended job.
 *
 * @param value - JSON text
 * @returns the record; undefined when the text is invalid, for example because another program has written it
 * @example
 * parseEndedJob(entry.value);
 */
export function parseEndedJob(value: string): EndedJob | undefined {
	return parseStoredValue(endedJobSchema, value);
}
