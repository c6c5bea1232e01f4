import {crashRetentionMs, explanationWaitMs} from '../state/constants.js';
import {isPlannedEnd} from '../runs/is-planned-end.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type LostRun, type Worker} from '../state/scheduler.js';
import {dismissLoss} from './dismiss-loss.js';
import {describeLostRuns} from './describe-lost-runs.js';
import {countCrash} from './count-crash.js';
import {countSuspects} from './count-suspects.js';
import {isSiblingProven} from './is-sibling-proven.js';

/** Reason of a loss with an instance that the platform has taken away, which no task has caused. */
export const instanceGone = 'instance-gone';

/** Maximum number of runs in a log line. */
const maximumLoggedRuns = 20;

/**
 * Records that the runs of a worker ended without a report. After the expiry of its lease, the worker may have crashed or
 * may only be unreachable; its next answer tells.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker, before its tasks are released
 * @param reason - reason of the loss
 * @example
 * recordLoss(context, worker, 'lease-lapsed');
 */
export function recordLoss(context: ReducerContext, worker: Worker, reason: string): void {
	const {scheduler, now} = context;
	if (reason === instanceGone) {
		dismissLoss(worker);
		return;
	}

	const earlier = worker.unexplainedLoss?.runs ?? [];
	// Tasks that were kept at the expiry of the lease are described already.
	const runs = [...earlier, ...describeLostRuns(worker, now).filter(({task, run}) => !earlier.some(lost => lost.task === task && lost.run === run))];
	worker.unexplainedLoss = undefined;
	if (runs.length === 0 || isPlannedEnd(scheduler, worker)) {
		return;
	}

	countSuspects(context, worker, runs);
	if (reason === 'lease-lapsed') {
		worker.unexplainedLoss = {lostAt: now, runs};
		for (const {task: {group}, recent, isolated} of runs) {
			group.suspected ||= recent && group.tasks.length === 1 && !isSiblingProven(group);
			if (isolated && !group.definition.longRunning) {
				group.earliestStartAt = now + explanationWaitMs;
			}
		}

		return;
	}

	const youngest = runs.toSorted((left, right) => left.ageMs - right.ageMs).slice(0, maximumLoggedRuns);
	context.effects.push({
		type: 'log', level: 'warn', event: 'worker-crashed', fields: {
			worker: worker.id, reason, count: runs.length, runs: youngest.map(({task, run, ageMs}) => [task.id, run, Math.round(ageMs)]),
		},
	});
	recordCrash(context, runs);
	for (const run of runs) {
		countCrash(context, run);
	}
}

function recordCrash({scheduler, now}: ReducerContext, runs: readonly LostRun[]): void {
	const {crashes} = scheduler;
	while (crashes[0] !== undefined && now - crashes[0].at > crashRetentionMs) {
		crashes.shift();
	}

	crashes.push({at: now, runs: runs.map(({task: {group}, run}) => ({group, run}))});
}
