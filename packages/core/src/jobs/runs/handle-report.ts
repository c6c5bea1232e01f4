import {adoptDuplicate} from '../copies/adopt-duplicate.js';
import {findRun} from '../copies/find-run.js';
import {type RunningTask, type WorkerReport} from '../state/event.js';
import {beginMeasurement} from '../estimates/begin-measurement.js';
import {judgeRunningTasks} from '../estimates/judge-running-tasks.js';
import {dismissLoss} from '../crashes/dismiss-loss.js';
import {throttleBestEffortTasks} from '../placement/throttle-best-effort-tasks.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {maximumReportedEnds} from '../state/constants.js';
import {openReportedOccurrences} from '../state/open-reported-occurrences.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {assignTask} from './assign-task.js';
import {handleTaskEnd} from './handle-task-end.js';
import {handleWorkerRestart} from './handle-worker-restart.js';
import {measureLateLease} from './measure-late-lease.js';
import {logHolderAnswer} from './log-holder-answer.js';
import {releaseTask} from './release-task.js';
import {stopTask} from './stop-task.js';

/** Time within which a worker answers a request for a report that has something to report at once. */
const promptAnswerMs = 30;

/**
 * Processes a worker's report: tasks that have ended, tasks that are running, and tasks that are missing from it.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param answer - the report and the local time at which it was requested
 * @example
 * handleReport(context, worker, {requestedAt, report});
 */
export function handleReport(context: ReducerContext, worker: Worker, answer: {requestedAt: number; report: WorkerReport}): void {
	const {requestedAt, report} = answer;
	// A report that was requested later shows a restart, also if the time of day went back before it.
	if (report.startedAtMs < worker.answeredStartedAtMs && requestedAt <= worker.clockReadAt) {
		worker.reportDueAt = context.now;
		return;
	}

	worker.answeredStartedAtMs = report.startedAtMs;
	const uncertaintyMs = measureEndUncertainty(context, worker, requestedAt);
	recordResponse(context, worker, answer);
	openReportedOccurrences(context, report);
	dismissLoss(worker);
	for (const ended of report.ended) {
		if (ended.number > worker.receivedEndNumber) {
			handleTaskEnd(context, worker, ended, {uncertaintyMs});
		}
	}

	worker.receivedEndNumber = Math.max(worker.receivedEndNumber, ...report.ended.map(({number}) => number));
	const runningById = new Map(report.running.map(running => [running.task, running]));
	for (const running of runningById.values()) {
		recordRunning(context, worker, running);
	}

	worker.hasStrayRuns = report.running.some(running => {
		const task = findRun(context.scheduler, running);
		return task?.worker !== worker || task.run !== running.run;
	});

	// A task that is missing from a report with the most ends possible may have ended as well.
	const tasks = report.ended.length < maximumReportedEnds ? worker.tasks : [];
	for (const task of tasks) {
		if (requestedAt < task.expectedInReportsFrom || runningById.get(task.id)?.run === task.run) {
			continue;
		}

		// An open order of a run that is not there may still start it, unless the worker has accepted a stop.
		if (task.state === 'starting' || (task.state === 'running' && task.openStartOrders > 0)) {
			stopTask(context, task);
		} else {
			context.effects.push({
				type: 'log', level: 'warn', event: 'task-missing', fields: {task: task.id, run: task.run, worker: worker.id},
			});
			releaseTask(context, task);
		}
	}

	judgeRunningTasks(context, worker);
	throttleBestEffortTasks(context, worker, runningById);
	worker.reportDueAt = context.now;
}

/**
 * Measures how long ago the ends in a report may have occurred. The worker answers a pending request as soon as a task
 * ends, so an answer that takes longer than a call shows an end at once; otherwise it may date from the time without a pending request.
 */
function measureEndUncertainty({now}: ReducerContext, worker: Worker, requestedAt: number): number {
	return now - requestedAt > promptAnswerMs ? 0 : Math.max(0, requestedAt - Math.max(worker.reportAnsweredAt, worker.locatedAt));
}

function recordResponse(context: ReducerContext, worker: Worker, {requestedAt, report}: {requestedAt: number; report: WorkerReport}): void {
	const isFirstAnswerOfHolder = worker.startedAtMs === 0 && worker.unreconciledUntil > 0;
	worker.reportAnsweredAt = context.now;
	if (worker.startedAtMs === report.startedAtMs) {
		worker.acknowledgedEndNumber = Math.max(worker.acknowledgedEndNumber, worker.pendingAcknowledgement);
	} else {
		if (worker.startedAtMs !== 0) {
			handleWorkerRestart(context, worker, {requestedAt, clockMs: report.clockMs, startedAtMs: report.startedAtMs});
		} else if (worker.unreconciledUntil === 0) {
			// Leases are sent to recorded holders only, so a worker that no former owner has recorded holds none.
			worker.boundedStartedAtMs = report.startedAtMs;
		}

		worker.startedAtMs = report.startedAtMs;
	}

	worker.clockMs = report.clockMs;
	worker.clockReadAt = context.now;
	// An expiry on the clock of another incarnation may lie further ahead than any lease that this one holds.
	worker.leaseUntilMs = Math.min(worker.leaseUntilMs, Math.ceil(report.clockMs + context.scheduler.longestLeaseMs));
	worker.lastResponseAt = context.now;
	worker.lastSeenAt = context.now;
	worker.unresponsive = false;
	if (report.ended.length < maximumReportedEnds) {
		worker.unreconciledUntil = 0;
	}

	if (!worker.acknowledgedOwner) {
		worker.acknowledgedOwner = true;
		// A former owner may have granted a lease just before the takeover.
		const {leaseMs, longestLeaseMs} = context.scheduler;
		const formerLeaseMs = worker.boundedStartedAtMs === report.startedAtMs ? leaseMs : longestLeaseMs;
		worker.leaseUntilMs = Math.max(worker.leaseUntilMs, Math.ceil(report.clockMs + formerLeaseMs));
	}

	if (isFirstAnswerOfHolder) {
		logHolderAnswer(context, worker, report);
	}

	worker.leaseUntilMs = Math.max(worker.leaseUntilMs, Math.ceil(report.clockMs + measureLateLease(context, worker)));

	context.scheduler.holdersDirty ||= !worker.recordedAsHolder;
}

function recordRunning(context: ReducerContext, worker: Worker, running: RunningTask): void {
	let task = findRun(context.scheduler, running);
	if (task === undefined || mustNotRun(task)) {
		if (task?.worker !== worker || task.state !== 'stopping') {
			stopRun(context, worker, running);
		}

		return;
	}

	if (task.worker === undefined && running.run >= task.group.run) {
		assignTask(context.scheduler, task, {worker, run: running.run, state: 'running'});
		task.expectedInReportsFrom = context.now;
		task.progressedAt = context.now;
	}

	if (task.worker !== worker || task.run !== running.run) {
		task = adoptDuplicate(context, task, {worker, run: running.run});
	}

	if (task === undefined) {
		stopRun(context, worker, running);
		return;
	}

	task.group.crashedRuns.delete(running.run);
	recordProgress(context, task, running);
}

function mustNotRun({group}: Task): boolean {
	return group.done || group.job.cancelled || group.job.end !== undefined;
}

function stopRun(context: ReducerContext, worker: Worker, running: RunningTask): void {
	const {task: id, run} = running;
	const task = findRun(context.scheduler, running);
	if (task?.worker === worker && task.run === run) {
		stopTask(context, task);
		return;
	}

	context.effects.push({
		type: 'stop', worker: worker.id, address: worker.address, task: id, run,
	});
}

function recordProgress(context: ReducerContext, task: Task, running: RunningTask): void {
	const {group} = task;
	if (task.state === 'starting') {
		task.state = 'running';
		beginMeasurement(task, context.now);
		task.expectedInReportsFrom = context.now;
		task.progressedAt = context.now;
	}

	group.job.started = true;
	task.seenRunningAt = context.now;
	if (running.percent !== task.percent) {
		task.percent = running.percent;
		task.progressedAt = context.now;
	}

	if (task.percent >= 100 && task.state === 'running') {
		group.relocatedAt = undefined;
	}

	if (running.checkpoint !== '') {
		group.checkpoint = running.checkpoint;
	}
}
