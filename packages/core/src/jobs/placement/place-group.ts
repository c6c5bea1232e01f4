import {assignTask} from '../runs/assign-task.js';
import {chooseRunNumber} from '../runs/choose-run-number.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type StepState, type TaskGroup, type Worker} from '../state/scheduler.js';
import {sendStart} from '../runs/send-start.js';
import {mayStartUnderLimit} from './may-start-under-limit.js';
import {chooseWorkers} from './choose-workers.js';
import {mayUseService} from './may-use-service.js';
import {type RackForecasts} from './rack-forecast.js';
import {recordService} from './record-service.js';
import {waitsForData} from './waits-for-data.js';

/** The tasks were started, wait for capacity near their data, wait until their service is stored with the job, or do not all fit. */
export type Placement = 'placed' | 'waiting' | 'unrecorded' | 'unplaced';

/**
 * Places all tasks of a group on workers with free capacity and starts them.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @param group - the task group; its tasks must be unassigned
 * @param options - the step of the group, the workers to choose from, and the forecasts of the racks in this round, which may be changed; without these, no task waits for its data
 * @returns what became of them
 * @example
 * placeGroup(context, group, {step, workers}) === 'placed';
 */
export function placeGroup(context: ReducerContext, group: TaskGroup, options: {step: StepState; workers: readonly Worker[]; forecasts?: RackForecasts}): Placement {
	const {scheduler} = context;
	const {service} = findQueuePolicy(scheduler, group.job);
	const {step, workers, forecasts} = options;
	if (!mayStartUnderLimit(scheduler, group, context.now)) {
		return 'unplaced';
	}

	const {lastWait} = forecasts ?? {};
	if (forecasts !== undefined && lastWait?.step === step && waitsForData(context, group, {
		step, workers, chosen: lastWait.chosen, forecasts,
	})) {
		return 'waiting';
	}

	const chosen = chooseWorkers(group, step, {candidates: workers, now: context.now, estimates: scheduler.estimates});
	if (chosen === undefined) {
		return 'unplaced';
	}

	if (forecasts !== undefined && waitsForData(context, group, {
		step, workers, chosen, forecasts,
	})) {
		return 'waiting';
	}

	if (!mayUseService(group.job, service)) {
		recordService(context, group.job, service);
		return 'unrecorded';
	}

	const run = chooseRunNumber(scheduler, group);
	for (const [position, task] of group.tasks.entries()) {
		const worker = chosen[position];
		if (worker === undefined) {
			return 'unplaced';
		}

		assignTask(scheduler, task, {worker, run, state: 'starting'});
		task.ticket = step.tickets?.granted.get(worker.id)?.value ?? '';
		sendStart(context, task);
	}

	return 'placed';
}
