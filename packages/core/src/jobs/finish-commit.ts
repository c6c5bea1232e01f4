import {commitRetryMs} from './constants.js';
import {forgetJob} from './forget-job.js';
import {type Pass} from './pass.js';

/**
 * Takes in the outcome of a write of progress. After a success workers may forget the ends, ended jobs leave the memory
 * and recorded workers get tasks; after a failure everything is written again.
 *
 * @param pass - the pass; its state is changed
 * @param outcome - number of the write, and whether it is stored
 * @example
 * finishCommit(pass, {number: 1, stored: true});
 */
export function finishCommit(pass: Pass, outcome: {number: number; stored: boolean}): void {
	const {scheduler, now} = pass;
	const {commit} = scheduler;
	if (commit?.number !== outcome.number) {
		return;
	}

	scheduler.commit = undefined;
	if (!outcome.stored) {
		for (const job of commit.jobs) {
			scheduler.dirty.add(job);
		}

		for (const wave of commit.waves) {
			scheduler.dirtyWaves.add(wave);
		}

		scheduler.holdersDirty ||= commit.holders.length > 0;
		scheduler.commitDueAt = now + commitRetryMs;
		return;
	}

	for (const {worker, bornMs, end} of commit.ends) {
		if (worker.bornMs === bornMs) {
			worker.storedEnd = Math.max(worker.storedEnd, end);
			worker.reportDueAt = now;
		}
	}

	for (const worker of commit.holders) {
		worker.recorded = true;
	}

	for (const job of commit.jobs) {
		if (job.end !== undefined && !scheduler.dirty.has(job)) {
			forgetJob(pass, job);
		}
	}
}
