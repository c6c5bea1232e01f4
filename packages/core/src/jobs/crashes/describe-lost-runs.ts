import {type LostRun, type Task, type Worker} from '../state/scheduler.js';
import {isHarmless} from './is-harmless.js';

/** Runs that were started within this time before the last start on a worker count as its last ones, in milliseconds. */
const recentStartMs = 300;

/**
 * Describes the runs that are lost with a worker, without long-running tasks that have been up for long.
 *
 * @param worker - the worker, before its tasks are released
 * @param now - local time in milliseconds
 * @returns the runs
 * @example
 * describeLostRuns(worker, now);
 */
export function describeLostRuns(worker: Worker, now: number): LostRun[] {
	const tasks = [...worker.tasks].filter(task => !isHarmless(task, worker.lastResponseAt));
	const latestStartAt = Math.max(...tasks.filter(({state}) => state === 'running').map(({lastOrderAt}) => lastOrderAt));
	return tasks.map(task => {
		const {run, state, lastOrderAt, startOrders, group} = task;
		// A worker may crash before it answers the order; the task is then started again, and stopped when that fails as well.
		const isUnanswered = state === 'starting' || (state === 'stopping' && startOrders > 1);
		return {
			task,
			run,
			ageMs: now - lastOrderAt,
			confirmed: !isUnanswered,
			// Tasks that a former owner started have no time of their start.
			recent: state === 'running' && lastOrderAt > 0 && lastOrderAt >= latestStartAt - recentStartMs,
			isolated: group.isolation?.run === run && !group.isolation.isShared && !hasLaterStart(tasks, task),
			isShared: group.isolation?.run === run && group.isolation.isShared,
		};
	});
}

function hasLaterStart(tasks: readonly Task[], {group}: Task): boolean {
	const startedAt = group.isolation?.startedAt ?? 0;
	return tasks.some(other => other.group !== group && other.lastOrderAt > startedAt);
}
