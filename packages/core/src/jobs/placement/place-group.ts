import {assignTask} from '../runs/assign-task.js';
import {chooseRunNumber} from '../runs/choose-run-number.js';
import {isWithinLimit} from '../order/is-within-limit.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type StepState, type TaskGroup, type Worker} from '../state/scheduler.js';
import {sendStart} from '../runs/send-start.js';
import {getReservedResources} from './get-reserved-resources.js';
import {chooseWorkers} from './choose-workers.js';
import {addResources} from './add-resources.js';

/**
 * Places all tasks of a group on workers with free capacity and starts them.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @param group - the task group; its tasks must be unassigned
 * @param options - the step of the group, and the workers to choose from
 * @returns false if not all of its tasks fit
 * @example
 * placeGroup(context, group, {step, workers});
 */
export function placeGroup(context: ReducerContext, group: TaskGroup, options: {step: StepState; workers: readonly Worker[]}): boolean {
	const {scheduler} = context;
	const {step, workers} = options;
	const need = getReservedResources(group.definition);
	const total = addResources({cpuMillis: 0, memoryMb: 0, accelerators: 0}, need, group.tasks.length);
	if (!isWithinLimit(scheduler, group.job, total)) {
		return false;
	}

	const chosen = chooseWorkers(group, step, {candidates: workers, now: context.now, estimates: scheduler.estimates});
	if (chosen === undefined) {
		return false;
	}

	const run = chooseRunNumber(scheduler, group);
	for (const [position, task] of group.tasks.entries()) {
		const worker = chosen[position];
		if (worker === undefined) {
			return false;
		}

		assignTask(scheduler, task, {worker, run, state: 'starting'});
		task.ticket = step.tickets?.granted.get(worker.id)?.value ?? '';
		sendStart(context, task);
	}

	return true;
}
