import {type TaskGroup} from '../state/scheduler.js';
import {type PeerTime} from './list-peer-times.js';

/**
 * Estimates how long a fresh run of a task takes: the estimate of the step, or the median of the step's other tasks if
 * that is longer. With an estimate that is too short, all tasks of a step would otherwise look like stragglers.
 *
 * @param group - the group of the task
 * @param options - run times of the tasks of the step, shortest first, and the estimate in milliseconds
 * @returns milliseconds
 * @example
 * estimateFreshRunTime(group, {peerTimes: listPeerTimes(step.groups), estimatedMs: 400});
 */
export function estimateFreshRunTime(group: TaskGroup, options: {peerTimes: readonly PeerTime[]; estimatedMs: number}): number {
	const {peerTimes, estimatedMs} = options;
	const others = peerTimes.filter(peer => peer.group !== group);
	return Math.max(estimatedMs, others[Math.floor(others.length / 2)]?.timeMs ?? 0);
}
