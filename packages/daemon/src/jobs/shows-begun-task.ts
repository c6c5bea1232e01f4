import {progressSchema} from '@rosemaryquay/core/jobs/state/job-schema';
import {parseStoredValue} from './parse-stored-value.js';

/**
 * Tells whether stored progress shows that a task of the job has begun. Progress may be stored before, with the services to
 * whose workers tasks are about to be sent.
 *
 * @param value - the stored progress
 * @returns false if it shows no task; true if it cannot be parsed, since owners mostly write it once a task has ended
 * @example
 * showsBegunTask('{"done":{"0.0":[3]},"failures":{}}'); // true
 */
export function showsBegunTask(value: string): boolean {
	const progress = parseStoredValue(progressSchema, value);
	return progress === undefined || [progress.done, progress.failures, progress.crashes ?? {}, progress.runs ?? {}].some(places => Object.keys(places).length > 0);
}
