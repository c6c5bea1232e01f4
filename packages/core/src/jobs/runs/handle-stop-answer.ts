import {findRun} from '../copies/find-run.js';
import {type OrderAnswer} from '../state/event.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {endCalledIncarnation} from './end-called-incarnation.js';

/**
 * Processes the answer to an order to stop a task. Once the order is accepted, the run can no longer start, and a report
 * requested after the time allowed for stopping either shows the end or proves that the task does not run.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param order - the task, its run and the answer
 * @example
 * handleStopAnswer(context, worker, {task, run: 1, answer: {outcome: 'accepted'}});
 */
export function handleStopAnswer(context: ReducerContext, worker: Worker, order: {task: string; run: number; answer: OrderAnswer}): void {
	const {run, answer} = order;
	if (answer.outcome === 'fenced') {
		context.effects.push({type: 'step-down', reason: 'A worker has seen a later owner'});
		return;
	}

	const task = findRun(context.scheduler, order);
	if (task?.worker !== worker || task.run !== run || task.state !== 'stopping') {
		return;
	}

	if (answer.outcome === 'other-worker') {
		endCalledIncarnation(context, worker, task.lastOrderAt);
	}

	if (answer.outcome !== 'accepted') {
		return;
	}

	task.expectedInReportsFrom = Math.min(task.expectedInReportsFrom, context.now + context.scheduler.stopMs);
}
