import {type ReducerContext} from '../state/reducer-context.js';
import {type StepState, type TaskGroup, type Worker} from '../state/scheduler.js';
import {stopTask} from '../runs/stop-task.js';
import {addResources} from './add-resources.js';
import {findObtainableWorkers} from './find-obtainable-workers.js';
import {fitsInto} from './fits-into.js';
import {getReservedResources} from './get-reserved-resources.js';
import {mayStartUnderLimit} from './may-start-under-limit.js';

/** Time for which a long-running task waits before other tasks are preempted for it; the platform requires it to be running again within 6 s. */
const preemptionDelayMs = 1500;

/**
 * Reserves the workers that a long-running group needs which does not fit anywhere. No other task is placed there in this
 * round, and the tasks there are preempted if the wait grows long. Without the reservation, small tasks would use up all
 * capacity that becomes free. Nothing is reserved for a group that waits for something else than room, such as a label,
 * a ticket or its organisation's upper limit.
 *
 * @param context - the reducer context; its state may be changed
 * @param group - the waiting group
 * @param options - its step, and schedulable workers of its service, from which the reserved ones are removed
 * @example
 * reserveWorkers(context, group, {step, workers});
 */
export function reserveWorkers(context: ReducerContext, group: TaskGroup, {step, workers}: {step: StepState; workers: Worker[]}): void {
	if (!mayStartUnderLimit(context.scheduler, group, context.now)) {
		return;
	}

	const emptiestFirst = workers.toSorted((left, right) => measureFreeCores(right) - measureFreeCores(left));
	for (const worker of findObtainableWorkers(group, step, emptiestFirst) ?? []) {
		workers.splice(workers.indexOf(worker), 1);
		if (context.now - group.unassignedSince > preemptionDelayMs) {
			preempt(context, group, worker);
		}
	}
}

function measureFreeCores({listing, used}: Worker): number {
	return (listing?.capacity.cpuMillis ?? 0) - used.cpuMillis;
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
