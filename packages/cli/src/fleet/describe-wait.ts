import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type EndedJob} from '@rosemaryquay/core/jobs/state/job-schema';
import {type UnfinishedJob} from '@rosemaryquay/daemon/jobs/decode-unfinished-jobs';

/** A job as read from the store. Of an ended job, the store keeps only its end. */
export type JobRecord = UnfinishedJob | (EndedJob & {readonly id: string});

/**
 * Explains what a job waits for, from its record in the store. Which tasks run is not stored; the log of the owner of the
 * schedule shows it.
 *
 * @param record - the job as it is stored
 * @param options - configuration in force, and wall-clock time in milliseconds since the epoch
 * @returns one sentence for each reason
 * @example
 * describeWait(record, {configuration, utcMs: Date.now()});
 */
export function describeWait(record: JobRecord, options: {configuration: Configuration; utcMs: number}): string[] {
	const {configuration, utcMs} = options;
	if ('state' in record) {
		return [`It has ended as ${record.state}.`];
	}

	const {job, cancelled} = record;
	if (cancelled) {
		return ['It is cancelled; the last of its tasks are being stopped.'];
	}

	const reasons: string[] = [];
	const queue = configuration.queues.find(({name}) => name === job.queue);
	if (queue === undefined) {
		reasons.push(`Queue ${job.queue} is not in the configuration; the job keeps the terms of its acceptance.`);
	}

	const dueInMs = job.startAtMs - utcMs;
	if (job.repeatCount > 0 && dueInMs > 0) {
		return [...reasons, `Its first occurrence is due in ${Math.ceil(dueInMs / 1000)} s.`];
	}

	return [...reasons, ...describeSteps(record)];
}

function describeSteps({job, progress}: UnfinishedJob): string[] {
	const lines: string[] = [];
	// A job without repetition (repeatCount 0) has one occurrence.
	for (let occurrence = 0; occurrence < Math.max(1, job.repeatCount); occurrence++) {
		const remaining = job.steps.map(({count}, step) => count - (progress?.done[`${occurrence}.${step}`]?.length ?? 0));
		for (const [step, {after, count}] of job.steps.entries()) {
			const blockingSteps = after.filter(earlier => (remaining[earlier] ?? 0) > 0);
			if (remaining[step] === 0) {
				continue;
			}

			lines.push(blockingSteps.length > 0
				? `Occurrence ${occurrence}, step ${step}: waits for step ${blockingSteps.join(' and ')}.`
				: `Occurrence ${occurrence}, step ${step}: ${remaining[step]} of ${count} tasks are not done; they run, or wait for room, for the limit or the share of ${job.organisation || 'their organisation'} (event 645), or for a worker's lease.`);
		}
	}

	return lines;
}
