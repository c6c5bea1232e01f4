import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {getSpeed} from './get-speed.js';
import {isNearData} from './is-near-data.js';
import {judgeRun} from './judge-run.js';
import {recordJudgements} from './record-judgements.js';
import {recordRunTime} from './record-run-time.js';

/**
 * Records a run that is done: for the speed of its worker and for the run times. Must be called while the task is still assigned.
 *
 * @param context - the reducer context; its state is changed
 * @param task - the task
 * @param options - its worker, and how long before now the run may have ended, in milliseconds
 * @example
 * recordRun(context, task, {worker, uncertaintyMs: 0});
 */
export function recordRun(context: ReducerContext, task: Task, options: {worker: Worker; uncertaintyMs: number}): void {
	const {scheduler, now} = context;
	const {worker} = options;
	const {isSlow, suspectedAt} = getSpeed(scheduler.estimates, worker);
	const isSuspect = isSlow || suspectedAt !== undefined;
	const judgement = isNearData(task, worker) ? judgeRun(scheduler, task, {now, isDone: true, isSlow: isSuspect}) : undefined;
	recordRunTime(context, task, {...options, isSlow: isSuspect});
	if (judgement !== undefined) {
		recordJudgements(context, worker, [{task, ...judgement}]);
	}
}
