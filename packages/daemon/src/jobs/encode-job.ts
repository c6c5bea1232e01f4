import {type Job, jobSchema, stepSchema} from '@rosemaryquay/core/jobs/state/job-schema';

const defaultStep: Readonly<Record<string, unknown>> = stepSchema.parse({count: 1});
const defaultJob: Readonly<Record<string, unknown>> = jobSchema.parse({
	id: '-', queue: '', service: '', organisation: '', acceptedAtMs: 0, steps: [{count: 1}],
});

const requiredFields = new Set(['id', 'queue', 'service', 'organisation', 'acceptedAtMs', 'steps', 'count']);

/**
 * Encodes a job for the store. Fields that have their default value are left out: a new owner reads all unfinished jobs
 * before it schedules, so their size delays every takeover.
 *
 * @param job - the job
 * @returns JSON text that `parseJob` reads
 * @example
 * encodeJob(job);
 */
export function encodeJob(job: Job): string {
	const steps = job.steps.map(step => omitDefaults(step, defaultStep));
	return JSON.stringify(omitDefaults({...job, steps}, defaultJob));
}

function omitDefaults(value: Readonly<Record<string, unknown>>, defaults: Readonly<Record<string, unknown>>): Record<string, unknown> {
	const entries = Object.entries(value).filter(([field, content]) => requiredFields.has(field) || JSON.stringify(content) !== JSON.stringify(defaults[field]));
	return Object.fromEntries(entries);
}
