import {commitRetryMs} from './constants.js';
import {removeJob} from './remove-job.js';
import {type ReducerContext} from './reducer-context.js';

/**
 * Processes the outcome of a write of progress. After a success, the committed task ends can be acknowledged to their
 * workers, ended jobs are removed, workers in the stored list of holders can get tasks, jobs can use the services stored with them, and tasks whose runs are no longer stored can be started. After a failure, everything
 * is marked to be written again.
 *
 * @param context - the reducer context; its state is changed
 * @param outcome - number of the write, and whether it is stored
 * @example
 * finishCommit(context, {number: 1, stored: true});
 */
export function finishCommit(context: ReducerContext, outcome: {number: number; stored: boolean}): void {
	const {scheduler, now} = context;
	const {commit} = scheduler;
	if (commit?.number !== outcome.number) {
		return;
	}

	scheduler.commit = undefined;
	if (!outcome.stored) {
		for (const {job} of commit.jobs) {
			scheduler.dirtyJobs.add(job);
		}

		for (const wave of commit.waves) {
			scheduler.dirtyWaves.add(wave);
		}

		scheduler.holdersDirty ||= commit.holders.length > 0;
		scheduler.commitDueAt = now + commitRetryMs;
		return;
	}

	for (const {worker, startedAtMs, endNumber} of commit.acknowledgements) {
		if (worker.startedAtMs === startedAtMs) {
			worker.committedEndNumber = Math.max(worker.committedEndNumber, endNumber);
			worker.reportDueAt = now;
		}
	}

	for (const {worker, address} of commit.holders) {
		worker.recordedAsHolder ||= worker.address === address;
	}

	for (const {job, otherServices, recordedGroups} of commit.jobs) {
		for (const service of otherServices) {
			job.storedServices.add(service);
		}

		for (const group of [...job.occurrences.values()].flat().flatMap(({groups}) => groups)) {
			group.mayHaveStoredRun &&= recordedGroups.has(group);
		}

		if (job.end !== undefined && !scheduler.dirtyJobs.has(job)) {
			removeJob(context, job);
		}
	}
}
