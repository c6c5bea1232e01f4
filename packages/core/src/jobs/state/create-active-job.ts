import {type Job} from './job-schema.js';
import {type ActiveJob} from './scheduler.js';

/**
 * Creates the state of an accepted job.
 *
 * @param job - the job
 * @param options - local time of acceptance, and whether a former owner may have started tasks of it
 * @returns the state, without open occurrences
 * @example
 * createActiveJob(job, {acceptedAt: now});
 */
export function createActiveJob(job: Job, options: {acceptedAt: number; recovered?: boolean}): ActiveJob {
	const {acceptedAt, recovered = false} = options;
	return {
		definition: job,
		acceptedAt,
		recovered,
		hasFormerRuns: false,
		occurrences: new Map(),
		runTimes: [],
		nextOccurrence: 0,
		completedOccurrences: 0,
		started: false,
		otherServices: new Set(),
		storedServices: new Set(),
		cancelled: false,
		end: undefined,
		changes: 0,
		outlook: undefined,
		dataWait: undefined,
		readiness: undefined,
	};
}
