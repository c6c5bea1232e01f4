import {assignTask} from '../runs/assign-task.js';
import {chooseRunNumber} from '../runs/choose-run-number.js';
import {createTask} from '../state/create-task.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {hasAttemptForDuplicate} from './has-attempt-for-duplicate.js';
import {mayHaveDuplicate} from './may-have-duplicate.js';

/** Number of the first run of the first owner. */
const firstRun = 1;

/**
 * Adopts the second of two runs that a former owner started, when a worker reports it after the first has been adopted.
 * Other runs that are reported are not wanted: this owner knows those that it has started.
 *
 * @param context - the reducer context; its state may be changed
 * @param task - the task, to which the first run is assigned
 * @param reported - the worker, and the number of the run that it reports
 * @returns the duplicate run; undefined if the reported run is to be stopped
 * @example
 * adoptDuplicate(context, task, {worker, run: 2});
 */
export function adoptDuplicate(context: ReducerContext, task: Task, reported: {worker: Worker; run: number}): Task | undefined {
	const {scheduler, now} = context;
	const {worker, run} = reported;
	const {group} = task;
	const firstOwnRun = chooseRunNumber(scheduler, {run: firstRun - 1});
	const areOfFormerOwner = task.run < firstOwnRun && run < firstOwnRun;
	if (!areOfFormerOwner || task.worker === undefined || task.worker === worker || task.state === 'stopping' || task.duplicate !== undefined
		|| group.suspected || group.failedRuns.has(run) || !mayHaveDuplicate(group) || !hasAttemptForDuplicate(scheduler, group)) {
		return undefined;
	}

	const duplicate = createTask(group, task);
	task.duplicate = duplicate;
	assignTask(scheduler, duplicate, {worker, run, state: 'running'});
	duplicate.expectedInReportsFrom = now;
	duplicate.progressedAt = now;
	context.effects.push({
		type: 'log', level: 'info', event: 'duplicate-adopted', fields: {
			task: task.id, run, worker: worker.id, originalRun: task.run, originalWorker: task.worker.id,
		},
	});
	return duplicate;
}
