import {reportWaitMs} from '../state/constants.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type StepState, type TaskGroup} from '../state/scheduler.js';
import {stopTask} from '../runs/stop-task.js';
import {listSchedulableWorkers} from './list-schedulable-workers.js';
import {chooseWorkers} from './choose-workers.js';

/** Time without an answer after which a worker may be unreachable: three report intervals. */
const reportTimeoutMs = 3 * reportWaitMs;

/**
 * Stops a long-running task so that it restarts on another worker, if one has room and the disruption budget of its step
 * allows it. A step without a budget may have one task down at a time.
 *
 * @param context - the reducer context; its state may be changed
 * @param task - the task
 * @returns true if the task was stopped
 * @example
 * relocateTask(context, task);
 */
export function relocateTask(context: ReducerContext, task: Task): boolean {
	const {group} = task;
	const step = group.job.occurrences.get(group.occurrence)?.[group.step];
	let unavailable = 0;
	for (const other of step?.groups ?? []) {
		if (other !== group && isUnavailable(other, context.now)) {
			unavailable++;
		}
	}

	if (unavailable >= Math.max(1, group.definition.mayMiss) || step === undefined || !hasRoomElsewhere(context, task, step)) {
		return false;
	}

	group.relocatedAt = context.now;
	context.effects.push({
		type: 'log', level: 'info', event: 'task-relocated', fields: {task: task.id, worker: task.worker?.id, away: unavailable},
	});
	stopTask(context, task);
	return true;
}

/** Tells whether another worker has room; without one, a stopped task would stay down for long. */
function hasRoomElsewhere({scheduler, now}: ReducerContext, task: Task, step: StepState): boolean {
	const {service} = findQueuePolicy(scheduler, task.group.job);
	const candidates = (listSchedulableWorkers(scheduler, now).get(service) ?? []).filter(worker => worker !== task.worker);
	return chooseWorkers(task.group, step, {candidates, now, estimates: scheduler.estimates}) !== undefined;
}

/** Tells whether a group is not known to be running: being relocated, starting, or on a worker that has not answered lately. */
function isUnavailable({relocatedAt, tasks}: TaskGroup, now: number): boolean {
	return relocatedAt !== undefined
		|| tasks.some(({state, percent, worker}) => state !== 'running' || percent < 100 || worker === undefined || worker.unresponsive || now - worker.lastResponseAt > reportTimeoutMs);
}
