import {type Task, type TaskGroup} from '../state/scheduler.js';

/** Progress from which the speed of another run of the step is taken into account, in percent. */
const knownSpeedPercent = 20;

/**
 * Estimates how long a fresh run of a task takes: the estimate of the step, or the median of the step's other tasks if
 * that is longer. With an estimate that is too short, all tasks of a step would otherwise look like stragglers.
 *
 * @param group - the group of the task
 * @param options - all groups of the step, and the estimate in milliseconds
 * @returns milliseconds
 * @example
 * estimateFreshRunTime(group, {groups: step.groups, estimatedMs: 400});
 */
export function estimateFreshRunTime(group: TaskGroup, options: {groups: readonly TaskGroup[]; estimatedMs: number}): number {
	const {groups, estimatedMs} = options;
	const times: number[] = [];
	for (const other of groups) {
		const [task] = other.tasks;
		const time = other === group || task === undefined ? undefined : other.durationMs ?? projectDuration(task);
		if (time !== undefined) {
			times.push(time);
		}
	}

	times.sort((left, right) => left - right);
	return Math.max(estimatedMs, times[Math.floor(times.length / 2)] ?? 0);
}

/** Projects the whole duration of a run from its progress at the last report. */
function projectDuration({state, percent, lastOrderAt, worker}: Task): number | undefined {
	return state === 'running' && percent >= knownSpeedPercent && lastOrderAt > 0 && worker !== undefined && worker.reportAnsweredAt > lastOrderAt ? (worker.reportAnsweredAt - lastOrderAt) * 100 / percent : undefined;
}
