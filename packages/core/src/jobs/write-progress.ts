import {commitIntervalMs} from './constants.js';
import {type Write} from './effect.js';
import {type Progress} from './job-schema.js';
import {type Pass} from './pass.js';
import {type ActiveJob, type Worker} from './scheduler.js';

/**
 * Writes what has ended since the last write, one write at a time. Only when it is stored may workers forget the ends.
 *
 * @param pass - the pass; its state is changed and an effect may be added
 * @example
 * writeProgress(pass);
 */
export function writeProgress(pass: Pass): void {
	const {scheduler, now, timeOfDay} = pass;
	if (scheduler.commit !== undefined || now < scheduler.commitDueAt) {
		return;
	}

	const jobs = [...scheduler.dirty];
	const holders = scheduler.holdersDirty ? listHolders(scheduler.workers.values()) : [];
	const ends = [...scheduler.workers.values()]
		.filter(({seenEnd, storedEnd}) => seenEnd > storedEnd)
		.map(worker => ({worker, bornMs: worker.bornMs, end: worker.seenEnd}));
	if (jobs.length === 0 && !scheduler.holdersDirty && scheduler.dirtyWaves.size === 0) {
		// The ends changed nothing that has to last, as those of tasks that were stopped.
		for (const {worker, end} of ends) {
			worker.storedEnd = end;
		}

		return;
	}

	const writes: Write[] = jobs.map(job => describeJob(job, timeOfDay));
	const waves = [...scheduler.dirtyWaves];
	for (const {request, upkeeps} of waves) {
		const done = [...upkeeps.values()].filter(({state}) => state === 'done').map(({instance}) => instance);
		writes.push({type: 'wave', wave: request.number, done});
	}

	if (scheduler.holdersDirty) {
		writes.push({type: 'holders', holders: holders.map(({id, address, instance}) => ({id, address, instance}))});
	}

	scheduler.commitNumber++;
	scheduler.commit = {
		number: scheduler.commitNumber, jobs, ends, holders, waves,
	};
	scheduler.dirty.clear();
	scheduler.holdersDirty = false;
	scheduler.dirtyWaves.clear();
	scheduler.commitDueAt = now + commitIntervalMs;
	pass.effects.push({type: 'commit', number: scheduler.commitNumber, writes});
}

/** All workers that have answered, also ones that the store does not list at the moment: once it does, they get tasks. */
function listHolders(workers: Iterable<Worker>): Worker[] {
	return [...workers].filter(({confirmed, unresolvedUntil}) => confirmed || unresolvedUntil > 0);
}

function describeJob(job: ActiveJob, timeOfDay: number): Write {
	const {id} = job.job;
	if (job.end !== undefined) {
		return {type: 'end', job: id, end: job.end};
	}

	if (job.cancelled && ![...job.occurrences.values()].flat().some(({units}) => units.some(({members}) => members.some(({state}) => state !== 'idle')))) {
		job.end = {state: 'cancelled', endedAtMs: timeOfDay};
		return {type: 'end', job: id, end: job.end};
	}

	return {type: 'progress', job: id, progress: describeProgress(job)};
}

function describeProgress(job: ActiveJob): Progress {
	const done: Record<string, number[]> = {};
	const failures: Record<string, number[]> = {};
	for (const steps of job.occurrences.values()) {
		for (const {occurrence, step, units} of steps) {
			const positions: number[] = [];
			for (const {done: isDone, failedRuns, members} of units) {
				const index = members[0]?.index ?? 0;
				if (isDone) {
					positions.push(index);
				} else if (failedRuns.size > 0) {
					failures[`${occurrence}.${step}.${index}`] = [...failedRuns];
				}
			}

			if (positions.length > 0) {
				done[`${occurrence}.${step}`] = positions;
			}
		}
	}

	return {done, failures};
}
