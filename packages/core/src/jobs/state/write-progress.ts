import {findAcknowledgeableEnd} from '../runs/find-acknowledgeable-end.js';
import {listStoredCrashes} from '../crashes/list-stored-crashes.js';
import {encodeSummary} from '../estimates/encode-summary.js';
import {mayHoldLease} from '../runs/may-hold-lease.js';
import {encodeBursts} from '../pools/encode-bursts.js';
import {commitIntervalMs, estimatesIntervalMs} from './constants.js';
import {type StoreWrite} from './effect.js';
import {type Progress} from './job-schema.js';
import {type ReducerContext} from './reducer-context.js';
import {type ActiveJob, type CommittedJob, type Worker} from './scheduler.js';

/**
 * Writes the progress since the last write, one write at a time. Workers may discard task ends only once they are stored.
 *
 * @param context - the reducer context; its state is changed and an effect may be added
 * @example
 * writeProgress(context);
 */
export function writeProgress(context: ReducerContext): void {
	const {scheduler, now, timeOfDay} = context;
	if (scheduler.commit !== undefined || now < scheduler.commitDueAt) {
		return;
	}

	const isRecordDue = scheduler.newlyRecordedJobs.size > 0 && now >= scheduler.recordsDueAt;
	const isAnyDue = scheduler.dirtyJobs.size > 0 || scheduler.holdersDirty || scheduler.dirtyWaves.size > 0 || isRecordDue;
	const jobs = [...new Set([...scheduler.dirtyJobs, ...[...scheduler.newlyRecordedJobs].filter(({end}) => end === undefined)])];
	const holders = scheduler.holdersDirty ? listHolders(scheduler.workers.values(), now) : [];
	const acknowledgements = [...scheduler.workers.values()]
		.map(worker => ({worker, startedAtMs: worker.startedAtMs, endNumber: findAcknowledgeableEnd(worker)}))
		.filter(({worker, endNumber}) => endNumber > worker.committedEndNumber);
	if (!isAnyDue) {
		// The ends, such as those of stopped tasks, changed nothing that is stored.
		for (const {worker, endNumber} of acknowledgements) {
			worker.committedEndNumber = endNumber;
		}

		return;
	}

	const writes: StoreWrite[] = jobs.map(job => createJobWrite(job, timeOfDay));
	const waves = [...scheduler.dirtyWaves];
	for (const {request, upkeeps} of waves) {
		const done = [...upkeeps.values()].filter(({state}) => state === 'done').map(({instance}) => instance);
		writes.push({type: 'wave', wave: request.number, done});
	}

	if (scheduler.holdersDirty) {
		writes.push({
			type: 'holders',
			holders: holders.map(({id, address, instance, service, boundedStartedAtMs}) => ({
				id, address, instance, service, boundedStartedAtMs,
			})),
		});
	}

	if (scheduler.estimates.isDirty && now >= scheduler.estimates.summaryDueAt) {
		scheduler.estimates.isDirty = false;
		scheduler.estimates.summaryDueAt = now + estimatesIntervalMs;
		writes.push({type: 'estimates', summary: encodeSummary(scheduler.estimates, encodeBursts(scheduler.burstPattern, {now, timeOfDay}))});
	}

	scheduler.commitNumber++;
	scheduler.commit = {
		number: scheduler.commitNumber, jobs: jobs.map(job => describeCommittedJob(job)), acknowledgements, holders: holders.map(worker => ({worker, address: worker.address})), waves,
	};
	scheduler.dirtyJobs.clear();
	scheduler.newlyRecordedJobs.clear();
	scheduler.holdersDirty = false;
	scheduler.dirtyWaves.clear();
	scheduler.commitDueAt = now + commitIntervalMs;
	context.effects.push({type: 'commit', number: scheduler.commitNumber, writes});
}

/** Lists all workers that have answered, are in the stored list, or may run tasks of a former owner, including workers that the store does not list at the moment, since they can get tasks as soon as it lists them again. */
function listHolders(workers: Iterable<Worker>, now: number): Worker[] {
	return [...workers].filter(worker => mayHoldLease(worker, now) && (worker.acknowledgedOwner || worker.recordedAsHolder || worker.unreconciledUntil > 0));
}

/** Notes what the write names; until the store has confirmed it, it may name this or what the write before named. */
function describeCommittedJob(job: ActiveJob): CommittedJob {
	const recordedGroups = new Set([...job.occurrences.values()].flat().flatMap(({groups}) => groups.filter(({recordedRun}) => recordedRun !== undefined)));
	for (const group of recordedGroups) {
		group.mayHaveStoredRun = true;
	}

	return {job, otherServices: [...job.otherServices], recordedGroups};
}

function createJobWrite(job: ActiveJob, timeOfDay: number): StoreWrite {
	const {id, queue, organisation} = job.definition;
	if (job.end !== undefined) {
		return {type: 'end', job: id, end: {...job.end, queue, organisation}};
	}

	if (job.cancelled && ![...job.occurrences.values()].flat().some(({groups}) => groups.some(({tasks}) => tasks.some(({state}) => state !== 'unassigned')))) {
		job.end = {state: 'cancelled', endedAtMs: timeOfDay};
		return {type: 'end', job: id, end: {...job.end, queue, organisation}};
	}

	return {type: 'progress', job: id, progress: createProgress(job)};
}

function createProgress(job: ActiveJob): Progress {
	const done: Record<string, number[]> = {};
	const failures: Record<string, number[]> = {};
	const crashes: Record<string, number[]> = {};
	const suspects: Record<string, number> = {};
	const runs: Record<string, [string, number, number]> = {};
	for (const steps of job.occurrences.values()) {
		for (const {occurrence, step, groups} of steps) {
			const positions: number[] = [];
			for (const group of groups) {
				const {done: isDone, failedRuns, tasks} = group;
				const index = tasks[0]?.index ?? 0;
				if (isDone) {
					positions.push(index);
					continue;
				}

				if (failedRuns.size > 0) {
					failures[`${occurrence}.${step}.${index}`] = [...failedRuns];
				}

				if (group.recordedRun !== undefined) {
					const {worker, startedAtMs, run} = group.recordedRun;
					runs[`${occurrence}.${step}.${index}`] = [worker, startedAtMs, run];
				}

				const storedCrashes = listStoredCrashes(group);
				if (storedCrashes.length > 0) {
					crashes[`${occurrence}.${step}.${index}`] = storedCrashes;
					if (group.suspectCount > 1) {
						suspects[`${occurrence}.${step}.${index}`] = group.suspectCount;
					}
				}
			}

			if (positions.length > 0) {
				done[`${occurrence}.${step}`] = positions;
			}
		}
	}

	return {
		done,
		failures,
		...(Object.keys(crashes).length > 0 && {crashes}),
		...(Object.keys(suspects).length > 0 && {suspects}),
		...(Object.keys(runs).length > 0 && {runs}),
		...(job.otherServices.size > 0 && {otherServices: [...job.otherServices]}),
	};
}
