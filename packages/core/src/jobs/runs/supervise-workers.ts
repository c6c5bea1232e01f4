import {
	crashDetectionMs, failedWorkerAvoidanceMs, lateCallMs, orderRetryMs, reportWaitMs, longRunningStartupTimeoutMs, stallTimeoutMs,
} from '../state/constants.js';
import {confirmSlowWorkers} from '../estimates/confirm-slow-workers.js';
import {forgetCrashes} from '../crashes/forget-crashes.js';
import {isHarmless} from '../crashes/is-harmless.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {relocateTask} from '../placement/relocate-task.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {avoidWorker} from './avoid-worker.js';
import {recordLastingRun} from './record-lasting-run.js';
import {releaseLostTasks} from './release-lost-tasks.js';
import {findLeaseExpiry} from './find-lease-expiry.js';
import {findOpenStartExpiry} from './find-open-start-expiry.js';
import {mayHoldLease} from './may-hold-lease.js';
import {logLeaseEnd} from './log-lease-end.js';
import {logSilentHolder} from './log-silent-holder.js';
import {logHolderAbandonment} from './log-holder-abandonment.js';
import {stopTask} from './stop-task.js';

/** Time after a pause of the process in which it reads the answers that have arrived meanwhile, before it judges any worker as silent. */
const answerReadingMs = 300;

/**
 * Supervises all workers: releases the tasks of unresponsive ones once their lease has expired, repeats unanswered stop
 * orders, stops stalled tasks, and relocates long-running tasks from workers that are leaving.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @example
 * superviseWorkers(context);
 */
export function superviseWorkers(context: ReducerContext): void {
	const {scheduler, now} = context;
	confirmSlowWorkers(context);
	for (const worker of scheduler.workers.values()) {
		if (now - scheduler.resumedAt < answerReadingMs) {
			continue;
		}

		logSilentHolder(context, worker);
		logLeaseEnd(context, worker);
		if (now > worker.unreconciledUntil) {
			logHolderAbandonment(context, worker, 'unanswered');
		}

		if (worker.tasks.size > 0 && now > findLeaseExpiry(worker)) {
			const tasks = [...worker.tasks].filter(task => now > findOpenStartExpiry(scheduler, task));
			if (tasks.length > 0) {
				releaseLostTasks(context, worker, 'lease-lapsed', tasks);
			}
		}

		for (const task of worker.tasks) {
			superviseTask(context, worker, task);
		}

		if (mayHoldLease(worker, now)) {
			continue;
		}

		scheduler.holdersDirty ||= worker.recordedAsHolder;
		worker.recordedAsHolder = false;
		if (now > findForgettingTime(worker)) {
			scheduler.workers.delete(worker.id);
		}
	}
}

/** Local time until which a worker is kept, so that its next incarnation shows whether it crashed, and is known to be one that may carry out late calls. */
function findForgettingTime({unexplainedLoss, leaseSentAt}: Worker): number {
	return Math.max(leaseSentAt + lateCallMs, unexplainedLoss === undefined ? 0 : unexplainedLoss.lostAt + crashDetectionMs);
}

function superviseTask(context: ReducerContext, worker: Worker, task: Task): void {
	const {now} = context;
	if (task.state === 'stopping') {
		if (now - task.lastOrderAt > orderRetryMs + context.scheduler.stopMs) {
			// An earlier stop order may have been accepted; keep the time that its answer set, which `stopTask` overwrites.
			const {expectedInReportsFrom} = task;
			stopTask(context, task);
			task.expectedInReportsFrom = expectedInReportsFrom;
		}

		return;
	}

	if (task.state !== 'running') {
		return;
	}

	recordLastingRun(context, worker, task);
	const isLongRunning = task.group.definition.longRunning;
	if (isLongRunning && worker.listing?.leaving) {
		relocateTask(context, task);
		return;
	}

	if (isLongRunning && isHarmless(task, now)) {
		forgetCrashes(context, task.group);
	}

	const timeoutMs = isLongRunning ? longRunningStartupTimeoutMs : stallTimeoutMs;
	// Without a report for two report intervals, the progress of the task is unknown, so it does not count as stalled.
	if (task.percent < 100 && task.speedLimitPercent === 100 && now - task.progressedAt > timeoutMs && now - worker.lastResponseAt < 2 * reportWaitMs) {
		context.effects.push({
			type: 'log', level: 'warn', event: 'task-stalled', fields: {
				task: task.id, run: task.run, worker: worker.id, percent: task.percent, stalledMs: Math.round(now - task.progressedAt),
			},
		});
		// A stall reaches `failureThreshold` at once: after the back-off, the worker gets one task at a time until one is done.
		worker.consecutiveFailures += 2;
		avoidWorker(worker, stallTimeoutMs * 2, now);
		task.group.failedWorkers.set(worker.id, now + failedWorkerAvoidanceMs);
		stopTask(context, task);
	}
}
