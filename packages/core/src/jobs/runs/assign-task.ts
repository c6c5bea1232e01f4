import {addResources} from '../placement/add-resources.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {
	type Task, type TaskState, type Scheduler, type Worker,
} from '../state/scheduler.js';

/**
 * Assigns a task to a worker, and adds its resources to the usage of the worker and of the organisation.
 *
 * @param scheduler - the state; changed
 * @param task - the task; must be unassigned
 * @param options - the worker, the number of the run and the state of the task
 * @example
 * assignTask(scheduler, task, {worker, run: 1, state: 'starting'});
 */
export function assignTask(scheduler: Scheduler, task: Task, options: {worker: Worker; run: number; state: TaskState}): void {
	const {worker, run, state} = options;
	const {definition, job} = task.group;
	const need = getReservedResources(definition);
	const {organisation} = job.definition;
	worker.used = addResources(worker.used, need);
	worker.tasks.add(task);
	scheduler.usedByOrganisation.set(organisation, addResources(scheduler.usedByOrganisation.get(organisation) ?? {cpuMillis: 0, memoryMb: 0, accelerators: 0}, need));
	task.worker = worker;
	task.run = run;
	task.state = state;
	task.seenRunningAt = 0;
	job.changes++;
	task.measurement = undefined;
	task.group.run = Math.max(task.group.run, run);
}
