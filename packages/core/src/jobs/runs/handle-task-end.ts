import {
	failedWorkerAvoidanceMs, initialBackoffMs, maximumBackoffMs, failureThreshold, restartDelayMs,
} from '../state/constants.js';
import {findRun} from '../copies/find-run.js';
import {hasAttemptForDuplicate} from '../copies/has-attempt-for-duplicate.js';
import {listRuns} from '../copies/list-runs.js';
import {mayHaveDuplicate} from '../copies/may-have-duplicate.js';
import {clearSuspicion} from '../crashes/clear-suspicion.js';
import {completeTaskGroup} from '../state/complete-task-group.js';
import {type EndedTask, type TaskOutcome} from '../state/event.js';
import {recordRun} from '../estimates/record-run.js';
import {failJob} from '../state/fail-job.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type TaskGroup, type Worker} from '../state/scheduler.js';
import {avoidWorker} from './avoid-worker.js';
import {releaseTask} from './release-task.js';
import {stopTask} from './stop-task.js';

type TaskEndContext = {
	readonly task: Task;
	readonly worker: Worker;
	readonly ended: EndedTask;
	/** The run that ended was one of a task and its duplicate. */
	readonly wasDuplicated: boolean;
};

const handlers: Record<TaskOutcome, (context: ReducerContext, end: TaskEndContext) => void> = {
	done(context, {task, worker, ended, wasDuplicated}) {
		worker.consecutiveFailures = 0;
		completeTaskGroup(context, task.group);
		clearSuspicion(context, task.group, ended.run);
		const otherRuns = listRuns(task.group).filter(member => member.worker !== undefined && member.run !== ended.run);
		for (const member of otherRuns) {
			if (!wasDuplicated) {
				context.effects.push({
					type: 'log', level: 'warn', event: 'other-run-stopped', fields: {
						task: member.id, run: member.run, worker: member.worker?.id, state: member.state, doneRun: ended.run, doneWorker: worker.id,
					},
				});
			}

			// A run that a later one overtakes counts as a failure of its worker. A slow worker would otherwise get the next task as soon as it is rid of this one.
			if (wasDuplicated && member.run < ended.run && member.worker !== undefined) {
				countWorkerFailure(context, member.worker);
			}

			stopOtherRun(context, member);
		}

		// A duplicate that has started cannot start again, so that it does not delay the acknowledgement.
		const contestingRuns = otherRuns.filter(member => !mayHaveDuplicate(task.group) || member.openStartOrders > 0);
		if (contestingRuns.length > 0) {
			worker.contestedEnds.set(ended.number, contestingRuns.map(member => ({task: member, run: member.run})));
		}
	},
	failed(context, {task, worker, ended}) {
		const {group} = task;
		group.earliestStartAt = context.now + restartDelayMs;
		if (group.definition.longRunning) {
			return;
		}

		group.failedWorkers.set(worker.id, context.now + failedWorkerAvoidanceMs);
		countWorkerFailure(context, worker);
		countGroupFailure(context, group, ended.run);
	},
	stopped: ignoreEnd,
	lapsed: ignoreEnd,
	broken: ignoreEnd,
	alone: ignoreEnd,
};

function ignoreEnd(): void {
	// The task will run again, from its latest checkpoint if there is one.
}

/**
 * Processes the end of a task that a worker reports.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param ended - the reported end
 * @param options - how long before now the run may have ended, in milliseconds
 * @example
 * handleTaskEnd(context, worker, {number: 1, task, run: 1, end: 'done', checkpoint: ''});
 */
export function handleTaskEnd(context: ReducerContext, worker: Worker, ended: EndedTask, options: {uncertaintyMs?: number} = {}): void {
	const {uncertaintyMs = 0} = options;
	const task = findRun(context.scheduler, ended);
	if (task === undefined) {
		return;
	}

	const {group} = task;
	group.run = Math.max(group.run, ended.run);
	group.crashedRuns.delete(ended.run);
	if (ended.checkpoint !== '') {
		group.checkpoint = ended.checkpoint;
	}

	let wasDuplicated = false;
	if (task.worker === worker && task.run === ended.run) {
		wasDuplicated = listRuns(group).length > group.tasks.length;
		if (ended.end === 'done' && !wasDuplicated) {
			recordRun(context, task, {worker, uncertaintyMs});
		}

		recordDuration(context, task, ended);
		releaseTask(context, task, ended.end);
	}

	handlers[ended.end](context, {
		task, worker, ended, wasDuplicated,
	});
	if (ended.end !== 'done') {
		context.effects.push({
			type: 'log', level: 'info', event: 'task-ended', fields: {
				task: ended.task, run: ended.run, worker: worker.id, startedAtMs: worker.startedAtMs, outcome: ended.end, failures: group.failedRuns.size, checkpoint: ended.checkpoint !== '',
			},
		});
	}
}

function recordDuration({now}: ReducerContext, {group, lastOrderAt, startOrders}: Task, {end}: EndedTask): void {
	if (end === 'done' && startOrders > 0) {
		group.durationMs ??= now - lastOrderAt;
	}
}

/** Stops another run of a task that is done: one that replaced a run given up too early, or a duplicate. */
function stopOtherRun(context: ReducerContext, task: Task): void {
	if (task.state !== 'stopping') {
		stopTask(context, task);
	}
}

function countWorkerFailure(context: ReducerContext, worker: Worker): void {
	worker.consecutiveFailures++;
	if (worker.consecutiveFailures < failureThreshold) {
		return;
	}

	const pauseMs = Math.min(maximumBackoffMs, initialBackoffMs * (2 ** (worker.consecutiveFailures - failureThreshold)));
	avoidWorker(worker, pauseMs, context.now);
	context.effects.push({
		type: 'log', level: 'warn', event: 'worker-avoided', fields: {worker: worker.id, failuresInRow: worker.consecutiveFailures, pauseMs},
	});
}

/** Counts a failed run once, although all tasks of a gang report it. */
function countGroupFailure(context: ReducerContext, group: TaskGroup, run: number): void {
	if (group.done || group.failedRuns.has(run)) {
		return;
	}

	group.failedRuns.add(run);
	context.scheduler.dirtyJobs.add(group.job);
	if (group.failedRuns.size >= findQueuePolicy(context.scheduler, group.job).maximumAttempts) {
		failJob(context, group.job);
		return;
	}

	const duplicate = group.tasks[0]?.duplicate;
	if (duplicate !== undefined && !hasAttemptForDuplicate(context.scheduler, group)) {
		stopOtherRun(context, duplicate);
	}
}
