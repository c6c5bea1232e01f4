import {explainWait} from '../placement/explain-wait.js';
import {hasReadyTasks} from '../placement/has-ready-tasks.js';
import {listSchedulableWorkers} from '../placement/list-schedulable-workers.js';
import {listUnreconciledServices} from '../placement/list-unreconciled-services.js';
import {type Wait} from '../placement/wait-reason.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {isStepReady} from '../state/is-step-ready.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {
	type ActiveJob, type Scheduler, type StepState, type TaskGroup,
} from '../state/scheduler.js';

/** Wait in milliseconds from which a task is explained; what can run is to start within 3 s. */
const explainedWaitMs = 1500;

/** Maximum number of looks at workers for the explanations of a second; an explanation takes a look at all workers of its service. It is a small part of the processor time of an owner on a small instance. */
const maximumLooks = 2000;

/** A job with a ready task that waits, the task that has waited longest, and why. */
export type JobWait = Wait & {readonly job: ActiveJob; readonly service: string; readonly task: string; readonly run: number; readonly since: number};

type LongestWait = {readonly group: TaskGroup; readonly step: StepState; readonly since: number};

/**
 * Measures why jobs wait, those that have waited longest first. Where a fleet is too large to explain all of them, the jobs
 * that have waited longest of each organisation and service come first.
 *
 * @param scheduler - the state
 * @param now - local time in milliseconds
 * @returns jobs with a ready task that has waited for more than 1.5 s
 * @example
 * measureWaits(scheduler, now)[0]?.reason;
 */
export function measureWaits(scheduler: Scheduler, now: number): JobWait[] {
	const waiting: Array<LongestWait & {job: ActiveJob}> = [];
	for (const job of scheduler.jobs.values()) {
		const longest = job.cancelled || job.end !== undefined || !hasReadyTasks(job) ? undefined : findLongestWait(job);
		if (longest !== undefined && now - longest.since > explainedWaitMs) {
			waiting.push({job, ...longest});
		}
	}

	if (waiting.length === 0) {
		return [];
	}

	const schedulable = listSchedulableWorkers(scheduler, now);
	const unreconciledServices = listUnreconciledServices(scheduler, now);
	const explainedCount = Math.max(1, Math.floor(maximumLooks / Math.max(1, scheduler.workers.size)));
	return chooseExplained(scheduler, waiting, explainedCount).map(({job, group, step, since, service}) => ({
		job,
		service,
		task: group.tasks[0]?.id ?? '',
		run: group.run,
		since,
		...explainWait(scheduler, group, {
			step, schedulable, unreconciledServices, now,
		}),
	}));
}

/** Chooses the jobs that have waited longest, at first one for each organisation and service. */
function chooseExplained<Wait extends LongestWait & {job: ActiveJob}>(scheduler: Scheduler, waiting: readonly Wait[], count: number): Array<Wait & {service: string}> {
	const seen = new Set<string>();
	const first: Array<Wait & {service: string}> = [];
	const others: Array<Wait & {service: string}> = [];
	for (const wait of waiting.toSorted((left, right) => left.since - right.since)) {
		const {service} = findQueuePolicy(scheduler, wait.job);
		const key = `${service} ${wait.job.definition.organisation}`;
		(seen.has(key) ? others : first).push({...wait, service});
		seen.add(key);
	}

	return [...first, ...others].slice(0, count).toSorted((left, right) => left.since - right.since);
}

function findLongestWait({occurrences}: ActiveJob): LongestWait | undefined {
	let longest: LongestWait | undefined;
	for (const steps of occurrences.values()) {
		for (const step of steps) {
			if (!isStepReady(steps, step)) {
				continue;
			}

			for (const group of step.groups) {
				const since = Math.max(group.unassignedSince, step.readySince);
				if (isUnassigned(group) && since < (longest?.since ?? Number.POSITIVE_INFINITY)) {
					longest = {group, step, since};
				}
			}
		}
	}

	return longest;
}
