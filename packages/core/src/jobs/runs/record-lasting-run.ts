import {mayHaveDuplicate} from '../copies/may-have-duplicate.js';
import {lateCallMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Scheduler, type Task, type Worker} from '../state/scheduler.js';
import {measureLeaseWait} from './measure-lease-wait.js';

/** Time for which a task has run from which its run is stored, in milliseconds; shorter tasks, which are most of them, cost no write. */
const recordedAgeMs = 3000;

/** Longest wait for another write with which the run is stored, in milliseconds; on a busy fleet, a record costs no write of its own. */
const recordDelayMs = 500;

/**
 * Has a run stored with its job that lasts: then the next owner knows that the task can run nowhere else. A run is stored
 * only if no order for another run of the task may still be carried out.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param task - a running task of it
 * @example
 * recordLastingRun(context, worker, task);
 */
export function recordLastingRun({scheduler, now}: ReducerContext, worker: Worker, task: Task): void {
	const {group, run} = task;
	const {recordedRun, job} = group;
	if ((recordedRun?.run === run && recordedRun.worker === worker.id) || !isRecordable(scheduler, worker, task, now)) {
		return;
	}

	group.recordedRun = {worker: worker.id, startedAtMs: worker.startedAtMs, run};
	if (scheduler.newlyRecordedJobs.size === 0) {
		scheduler.recordsDueAt = now + recordDelayMs;
	}

	scheduler.newlyRecordedJobs.add(job);
}

function isRecordable(scheduler: Scheduler, worker: Worker, task: Task, now: number): boolean {
	const {group, state, openStartOrders, startOrders, seenRunningAt, lastOrderAt} = task;
	if (state !== 'running' || openStartOrders > 0 || seenRunningAt === 0 || group.tasks.length !== 1 || group.tasks[0] !== task || mayHaveDuplicate(group)) {
		return false;
	}

	if (!worker.acknowledgedOwner || group.done || group.job.end !== undefined || group.job.cancelled) {
		return false;
	}

	// Until then, an order may be carried out whose answer no owner has got, and its run may hold the longest lease.
	const lateRunMs = lateCallMs + measureLeaseWait(scheduler.longestLeaseMs);
	const isUnclear = group.job.recovered && group.formerRun === undefined && now - scheduler.tookOverAt <= lateRunMs;
	if (isUnclear || (startOrders > 0 && !group.definition.longRunning && now - lastOrderAt < recordedAgeMs)) {
		return false;
	}

	return [...scheduler.workers.values()].every(({openStarts}) => now - (openStarts.get(task.id)?.orderedAt ?? Number.NEGATIVE_INFINITY) > lateRunMs);
}
