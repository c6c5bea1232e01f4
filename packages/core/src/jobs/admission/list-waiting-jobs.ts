import {estimateCriticalPath} from '../estimates/estimate-critical-path.js';
import {estimateDuration} from '../estimates/estimate-duration.js';
import {classifyLateness, type Lateness} from '../order/classify-lateness.js';
import {isWithinLimit} from '../order/is-within-limit.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type ActiveJob, type Scheduler, type TaskGroup} from '../state/scheduler.js';
import {usefulnessMultiple} from './usefulness-multiple.js';

/** Lateness class of jobs that are of no use any more; they wait behind all others. */
const uselessLateness = 2;

/** A job with work left. Work is in thousandths of a core times milliseconds. */
export type WaitingJob = {
	readonly service: string;
	readonly organisation: string;
	readonly priority: number;
	readonly lateness: Lateness;
	/** Work of its tasks that are not assigned to a worker. */
	readonly waitingWork: number;
	/** Work that is left in its tasks on workers. */
	readonly assignedWork: number;
	/** Time until the job is of no use any more even if the rest of it then starts, in milliseconds. */
	readonly usefulForMs: number;
};

/**
 * Lists the jobs with work left that new jobs may have to wait for. Waiting work of organisations at their upper limit does
 * not count, because others pass it by, and neither does that of jobs that are of no use any more.
 *
 * @param context - the reducer context
 * @returns the jobs
 * @example
 * listWaitingJobs(context).filter(({service}) => service === 'planner');
 */
export function listWaitingJobs({scheduler, now}: ReducerContext): WaitingJob[] {
	const waiting: WaitingJob[] = [];
	for (const job of scheduler.jobs.values()) {
		if (job.cancelled || job.end !== undefined || job.definition.steps.some(({longRunning}) => longRunning)) {
			continue;
		}

		const {service, priority, stretch, targetLatencyMs} = findQueuePolicy(scheduler, job);
		const lateness = classifyLateness(scheduler, job, now);
		const {unassigned, assigned, isAtLimit} = measureWork(scheduler, job);
		const current = job.occurrences.get(job.completedOccurrences) ?? [];
		const remainingMs = estimateCriticalPath(scheduler, job, position => current[position]?.remaining !== 0);
		const usefulMs = usefulnessMultiple * ((stretch * estimateCriticalPath(scheduler, job)) + targetLatencyMs);
		waiting.push({
			service,
			organisation: job.definition.organisation,
			priority,
			lateness,
			waitingWork: isAtLimit || lateness >= uselessLateness ? 0 : unassigned,
			assignedWork: assigned,
			usefulForMs: job.acceptedAt + usefulMs - remainingMs - now,
		});
	}

	return waiting;
}

function measureWork(scheduler: Scheduler, job: ActiveJob): {unassigned: number; assigned: number; isAtLimit: boolean} {
	let unassigned = 0;
	let assigned = 0;
	let isAtLimit = false;
	for (const steps of job.occurrences.values()) {
		for (const {groups, step} of steps) {
			const durationMs = estimateDuration(scheduler, job, step);
			for (const group of groups) {
				const {waiting, left} = countTasks(group);
				const {cpuMillis} = getReservedResources(group.definition);
				unassigned += waiting * cpuMillis * durationMs;
				assigned += left * cpuMillis * durationMs;
				isAtLimit ||= waiting > 0 && !isWithinLimit(scheduler, job, getReservedResources(group.definition));
			}
		}
	}

	return {unassigned, assigned, isAtLimit};
}

/** Counts the tasks of a group that wait, and those on workers by the part of them that is left. */
function countTasks({done, tasks}: TaskGroup): {waiting: number; left: number} {
	let waiting = 0;
	let left = 0;
	for (const {state, percent} of done ? [] : tasks) {
		if (state === 'unassigned') {
			waiting++;
		} else {
			left += 1 - (percent / 100);
		}
	}

	return {waiting, left};
}
