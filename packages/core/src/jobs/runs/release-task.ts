import {separateRun} from '../copies/separate-run.js';
import {addResources} from '../placement/add-resources.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {lateCallMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {forgetRecordedRun} from './forget-recorded-run.js';

/**
 * Unassigns a task from its worker, and subtracts its resources from the usage.
 *
 * @param context - the reducer context; its state is changed
 * @param task - the task, or the duplicate run of one
 * @param outcome - how the run ended; `lost` without a report of its end
 * @example
 * releaseTask(context, task);
 */
export function releaseTask(context: ReducerContext, task: Task, outcome = 'lost'): void {
	const {scheduler} = context;
	const {worker, group} = task;
	if (worker === undefined) {
		return;
	}

	const need = getReservedResources(group.definition);
	const {organisation} = group.job.definition;
	worker.used = addResources(worker.used, need, -1);
	worker.tasks.delete(task);
	rememberOpenStart(context, worker, task);
	if (worker.tasks.size === 0) {
		worker.idleSince = context.now;
	}

	if (!separateRun(context, task, outcome)) {
		group.unassignedSince = context.now;
	}

	const used = scheduler.usedByOrganisation.get(organisation);
	if (used !== undefined) {
		scheduler.usedByOrganisation.set(organisation, addResources(used, need, -1));
	}

	if (group.recordedRun?.run === task.run) {
		forgetRecordedRun(context, group);
	}

	group.job.changes++;
	task.worker = undefined;
	task.state = 'unassigned';
	task.ticket = '';
	task.startOrders = 0;
	task.openStartOrders = 0;
	task.percent = 0;
	task.measurement = undefined;
	group.job.runTimes[group.step]?.projected.delete(task);
	task.speedLimitPercent = 100;
	if (group.job.cancelled && !hasAssignedTasks(context, group.job.definition.id)) {
		scheduler.dirtyJobs.add(group.job);
	}
}

/** A stop that one incarnation has accepted, or an end that it has reported, does not bind the next one. */
function rememberOpenStart({now}: ReducerContext, {openStarts}: Worker, {id, run, openStartOrders, lastOrderAt}: Task): void {
	for (const [task, {orderedAt}] of openStarts) {
		if (now - orderedAt < lateCallMs) {
			break;
		}

		openStarts.delete(task);
	}

	if (openStartOrders > 0) {
		openStarts.delete(id);
		openStarts.set(id, {run, orderedAt: lastOrderAt});
	}
}

/** A cancelled job ends when none of its tasks is assigned to a worker. */
function hasAssignedTasks(context: ReducerContext, id: string): boolean {
	const job = context.scheduler.jobs.get(id);
	for (const steps of job?.occurrences.values() ?? []) {
		for (const {groups} of steps) {
			if (groups.some(({tasks}) => tasks.some(({state}) => state !== 'unassigned'))) {
				return true;
			}
		}
	}

	return false;
}
