import {type ReducerContext} from '../state/reducer-context.js';
import {type TaskGroup, type Worker} from '../state/scheduler.js';
import {stopTask} from '../runs/stop-task.js';
import {addResources} from './add-resources.js';
import {fitsInto} from './fits-into.js';
import {getReservedResources} from './get-reserved-resources.js';

/** Time for which a long-running task waits before other tasks are preempted for it; the platform requires it to be running again within 6 s. */
const preemptionDelayMs = 1500;

/**
 * Reserves a worker for a long-running task that does not fit anywhere. No other task is placed there in this round, and
 * the tasks there are preempted if the wait grows long. Without the reservation, small tasks would use up all capacity
 * that becomes free.
 *
 * @param context - the reducer context; its state may be changed
 * @param group - group of the waiting task
 * @param workers - schedulable workers of its service; the reserved one is removed
 * @example
 * reserveWorker(context, group, workers);
 */
export function reserveWorker(context: ReducerContext, group: TaskGroup, workers: Worker[]): void {
	const need = getReservedResources(group.definition);
	let best: {worker: Worker; free: number} | undefined;
	for (const worker of workers) {
		if (worker.listing === undefined || !fitsInto(need, measureFreeForLongRunning(worker)) || violatesAntiAffinity(worker, group)) {
			continue;
		}

		const free = worker.listing.capacity.cpuMillis - worker.used.cpuMillis;
		if (best === undefined || free > best.free) {
			best = {worker, free};
		}
	}

	if (best === undefined) {
		return;
	}

	const {worker} = best;
	workers.splice(workers.indexOf(worker), 1);
	if (context.now - group.unassignedSince > preemptionDelayMs) {
		preempt(context, group, worker);
	}
}

/** Resources that would be free on the worker once all tasks that are not long-running had ended. */
function measureFreeForLongRunning(worker: Worker) {
	let free = worker.listing?.capacity ?? {cpuMillis: 0, memoryMb: 0, accelerators: 0};
	for (const {group} of worker.tasks) {
		if (group.definition.longRunning) {
			free = addResources(free, getReservedResources(group.definition), -1);
		}
	}

	return free;
}

function violatesAntiAffinity(worker: Worker, group: TaskGroup): boolean {
	const {antiAffinity} = group.definition;
	const same = [...worker.tasks].filter(task => task.group.job === group.job && task.group.step === group.step && task.group.occurrence === group.occurrence);
	return antiAffinity > 0 && same.length >= antiAffinity;
}

/** Stops tasks until the waiting one fits, those that lose least first: tasks with checkpoints, then those with the least progress. */
function preempt(context: ReducerContext, group: TaskGroup, worker: Worker): void {
	const capacity = worker.listing?.capacity;
	if (capacity === undefined) {
		return;
	}

	const need = getReservedResources(group.definition);
	let free = addResources(capacity, worker.used, -1);
	for (const {state, group: other} of worker.tasks) {
		if (state === 'stopping') {
			free = addResources(free, getReservedResources(other.definition));
		}
	}

	const victims = [...worker.tasks]
		.filter(task => task.state === 'running' && !task.group.definition.longRunning)
		.toSorted((left, right) => Number(right.group.definition.checkpointing) - Number(left.group.definition.checkpointing) || left.percent - right.percent);
	for (const victim of victims) {
		if (fitsInto(need, free)) {
			return;
		}

		free = addResources(free, getReservedResources(victim.group.definition));
		context.effects.push({
			type: 'log', level: 'info', event: 'task-preempted', fields: {task: victim.id, worker: worker.id, for: group.tasks[0]?.id},
		});
		stopTask(context, victim);
	}
}
