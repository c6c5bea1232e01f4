import {completeTaskGroup} from './complete-task-group.js';
import {failJob} from './fail-job.js';
import {findQueuePolicy} from './find-queue-policy.js';
import {type Progress} from './job-schema.js';
import {openOccurrences} from './open-occurrences.js';
import {type ReducerContext} from './reducer-context.js';
import {type ActiveJob, type TaskGroup} from './scheduler.js';

/**
 * Restores the stored progress of a job that a former owner worked on, and opens the occurrences that it shows.
 *
 * @param context - the reducer context; its state is changed
 * @param job - the job
 * @param progress - the stored progress
 * @example
 * restoreProgress(context, job, {done: {'0.0': [0, 1]}, failures: {}});
 */
export function restoreProgress(context: ReducerContext, job: ActiveJob, progress: Progress): void {
	for (const service of progress.otherServices ?? []) {
		job.otherServices.add(service);
		job.storedServices.add(service);
	}

	const runs = Object.entries(progress.runs ?? {});
	const places = [...Object.keys(progress.done), ...Object.keys(progress.failures), ...runs.map(([place]) => place)];
	openOccurrences(context, job, Math.max(0, ...places.map(place => Number(place.split('.')[0]) + 1)));
	for (const [place, positions] of Object.entries(progress.done)) {
		const [occurrence, step] = place.split('.').map(Number);
		for (const position of positions) {
			const group = findGroup(job, {occurrence, step, position});
			if (group !== undefined) {
				completeTaskGroup(context, group);
				job.started = true;
			}
		}
	}

	for (const [place, [worker, startedAtMs, run]] of runs) {
		const [occurrence, step, position] = place.split('.').map(Number);
		const group = findGroup(job, {occurrence, step, position});
		if (group !== undefined && !group.done) {
			group.formerRun = {worker, startedAtMs, run};
			group.recordedRun = group.formerRun;
			group.mayHaveStoredRun = true;
			job.hasFormerRuns = true;
			job.started = true;
		}
	}

	for (const [place, runs] of Object.entries(progress.failures)) {
		const [occurrence, step, position] = place.split('.').map(Number);
		const group = findGroup(job, {occurrence, step, position});
		if (group === undefined) {
			continue;
		}

		for (const run of runs) {
			group.failedRuns.add(run);
		}

		job.started = true;
		if (runs.length >= findQueuePolicy(context.scheduler, job).maximumAttempts) {
			failJob(context, job);
		}
	}

	for (const [place, runs] of Object.entries(progress.crashes ?? {})) {
		const [occurrence, step, position] = place.split('.').map(Number);
		const group = findGroup(job, {occurrence, step, position});
		if (group === undefined) {
			continue;
		}

		for (const run of runs) {
			group.crashedRuns.add(run);
		}

		group.suspected = group.tasks.length === 1;
		group.suspectCount = progress.suspects?.[place] ?? 0;
		job.started = true;
	}
}

function findGroup(job: ActiveJob, place: {occurrence: number | undefined; step: number | undefined; position: number | undefined}): TaskGroup | undefined {
	const {occurrence = -1, step = -1, position = -1} = place;
	return job.occurrences.get(occurrence)?.[step]?.groups.find(({tasks}) => tasks.some(({index}) => index === position));
}
