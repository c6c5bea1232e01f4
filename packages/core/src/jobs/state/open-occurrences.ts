import {createTask} from './create-task.js';
import {type Step} from './job-schema.js';
import {type ReducerContext} from './reducer-context.js';
import {
	type ActiveJob, type StepState, type TaskGroup,
} from './scheduler.js';

/**
 * Opens the occurrences of a job that are due, and those that a former owner has opened, whose wall clock may have been ahead.
 *
 * @param context - the reducer context; its state is changed
 * @param job - the job
 * @param openedCount - number of occurrences that a former owner has opened
 * @example
 * openOccurrences(context, job);
 */
export function openOccurrences(context: ReducerContext, job: ActiveJob, openedCount = 0): void {
	const {repeatCount, startAtMs, intervalMs} = job.definition;
	while (job.nextOccurrence < Math.max(1, repeatCount)) {
		const dueAt = startAtMs + (job.nextOccurrence * intervalMs);
		const wasOpened = job.nextOccurrence < openedCount;
		if (repeatCount > 0 && dueAt > context.timeOfDay && !wasOpened) {
			return;
		}

		openOccurrence(context, job, job.nextOccurrence);
		job.nextOccurrence++;
	}
}

function openOccurrence(context: ReducerContext, job: ActiveJob, occurrence: number): void {
	const steps = job.definition.steps.map((definition, step): StepState => {
		const groups = createGroups(context, job, {definition, occurrence, step});
		return {
			occurrence, step, groups, remaining: groups.length, readySince: context.now, tickets: undefined,
		};
	});
	job.occurrences.set(occurrence, steps);
	job.changes++;
}

function createGroups(context: ReducerContext, job: ActiveJob, position: {definition: Step; occurrence: number; step: number}): TaskGroup[] {
	const {definition, occurrence, step} = position;
	const groups: TaskGroup[] = [];
	for (let index = 0; index < definition.count; index++) {
		const group = definition.gang && groups[0] !== undefined ? groups[0] : createGroup(context, job, position);
		if (group.tasks.length === 0) {
			groups.push(group);
		}

		const task = createTask(group, {id: `${job.definition.id}.${occurrence}.${step}.${index}`, index});
		group.tasks.push(task);
		context.scheduler.tasks.set(task.id, task);
	}

	return groups;
}

function createGroup(context: ReducerContext, job: ActiveJob, position: {definition: Step; occurrence: number; step: number}): TaskGroup {
	return {
		job,
		...position,
		tasks: [],
		run: 0,
		failedRuns: new Set(),
		crashedRuns: new Set(),
		suspected: false,
		suspectCount: 0,
		hasFailedSharedTrial: false,
		isolation: undefined,
		emptying: undefined,
		checkpoint: '',
		done: false,
		earliestStartAt: 0,
		unassignedSince: context.now,
		failedWorkers: new Map(),
		duplicatedAt: Number.NEGATIVE_INFINITY,
		durationMs: undefined,
		recordedRun: undefined,
		mayHaveStoredRun: false,
		formerRun: undefined,
		relocatedAt: undefined,
	};
}
