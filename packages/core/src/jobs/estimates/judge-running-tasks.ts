import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {discardCachedEstimates} from './discard-cached-estimates.js';
import {getSpeed} from './get-speed.js';
import {isNearData} from './is-near-data.js';
import {judgeRun} from './judge-run.js';
import {recordJudgements} from './record-judgements.js';

/**
 * Judges the speed of a worker by the progress of its running tasks after a report.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @example
 * judgeRunningTasks(context, worker);
 */
export function judgeRunningTasks(context: ReducerContext, worker: Worker): void {
	const {scheduler, now} = context;
	const {isSlow, suspectedAt} = getSpeed(scheduler.estimates, worker);
	const judgements: Array<{task: Task; ratio: number; drift: number | undefined}> = [];
	for (const task of worker.tasks) {
		if (task.measurement === undefined || !isNearData(task, worker)) {
			continue;
		}

		const judgement = judgeRun(scheduler, task, {now, isDone: false, isSlow: isSlow || suspectedAt !== undefined});
		if (judgement !== undefined) {
			judgements.push({task, ...judgement});
			discardCachedEstimates(task.group.job);
		}
	}

	recordJudgements(context, worker, judgements);
}
