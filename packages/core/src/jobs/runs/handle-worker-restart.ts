import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {forgetIncarnation} from '../estimates/forget-incarnation.js';
import {logRestart} from './log-restart.js';
import {releaseLostTasks} from './release-lost-tasks.js';
import {restartWorkerClock} from './restart-worker-clock.js';
import {stopOpenStarts} from './stop-open-starts.js';

/**
 * Processes the first report of a new incarnation of a worker under the same id. What ran before has ended. The new
 * incarnation knows no fencing token and no run, and its clock and end numbers start anew, so it may still carry out
 * orders that were sent to the earlier one: a task with an open start order stays assigned until the worker reports it
 * or has accepted a stop, and a task that was accepted after the report was requested until the next report. Runs that were
 * released with an open start order are stopped.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker, still in the state of its earlier incarnation
 * @param report - local time at which the report was requested, its reading of the worker's clock, and the start time of the new incarnation
 * @example
 * handleWorkerRestart(context, worker, {requestedAt, clockMs: 12, startedAtMs: 4711});
 */
export function handleWorkerRestart(context: ReducerContext, worker: Worker, report: {requestedAt: number; clockMs: number; startedAtMs: number}): void {
	const {requestedAt, clockMs, startedAtMs} = report;
	const tasks = [...worker.tasks];
	for (const task of tasks.filter(({openStartOrders}) => openStartOrders > 0)) {
		task.state = 'starting';
		task.expectedInReportsFrom = requestedAt;
	}

	releaseLostTasks(context, worker, 'worker-restarted', tasks.filter(({openStartOrders, expectedInReportsFrom}) => openStartOrders === 0 && expectedInReportsFrom <= requestedAt));

	stopOpenStarts(context, worker);
	forgetIncarnation(context.scheduler.estimates, worker);
	worker.receivedEndNumber = 0;
	worker.committedEndNumber = 0;
	worker.acknowledgedEndNumber = 0;
	worker.contestedEnds.clear();
	restartWorkerClock(context, worker, clockMs);
	logRestart(context, worker, {evidence: 'report', startedAtMs, tasks});
}
