import {type Task, type TaskGroup} from '../state/scheduler.js';

/** Progress from which the speed of a run is taken into account, in percent. */
const knownSpeedPercent = 20;

/** Tasks of a step that are considered; they are placed in this order, and more of them hardly change the median. */
const maximumPeers = 64;

/** Run time of a task, in milliseconds: measured, or projected from its progress. */
export type PeerTime = {readonly group: TaskGroup; readonly timeMs: number};

/**
 * Lists the run times of the tasks of a step, as far as they are known.
 *
 * @param groups - the groups of the step
 * @returns the times, shortest first
 * @example
 * listPeerTimes(step.groups);
 */
export function listPeerTimes(groups: readonly TaskGroup[]): PeerTime[] {
	const times: PeerTime[] = [];
	for (const group of groups.slice(0, maximumPeers)) {
		const [task] = group.tasks;
		const timeMs = task === undefined ? undefined : group.durationMs ?? projectDuration(task);
		if (timeMs !== undefined) {
			times.push({group, timeMs});
		}
	}

	return times.toSorted((left, right) => left.timeMs - right.timeMs);
}

/** Projects the whole duration of a run from its progress at the last report. */
function projectDuration({state, percent, lastOrderAt, worker}: Task): number | undefined {
	return state === 'running' && percent >= knownSpeedPercent && lastOrderAt > 0 && worker !== undefined && worker.reportAnsweredAt > lastOrderAt ? (worker.reportAnsweredAt - lastOrderAt) * 100 / percent : undefined;
}
