import {estimateCriticalPath} from '../estimates/estimate-critical-path.js';
import {estimateDuration} from '../estimates/estimate-duration.js';
import {estimateWork} from '../estimates/estimate-work.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {type Resources} from '../state/configuration-schema.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {isStepReady} from '../state/is-step-ready.js';
import {type ActiveJob, type Scheduler, type StepState} from '../state/scheduler.js';
import {type JobOutlook} from './job-outlook.js';

/** Time in milliseconds for which an outlook is kept while the job does not change; estimates are corrected meanwhile by the ends of other jobs. */
const outlookLifetimeMs = 1000;

/** Value of a job that does not depend on its size. The caller of a small job waits for an answer as well, so value is not proportional to work. */
const fixedValue = 0.3;

/** Weight of one job in the mean work of its queue: the mean follows about the last 100 jobs. */
const meanWorkGain = 0.01;

/**
 * Measures what decides the place of a job in the order. The result is kept with the job until its tasks or the
 * configuration change, so that a decision costs little for jobs that only wait.
 *
 * @param scheduler - the state; the outlook of the job and the mean work of its queue are changed
 * @param job - the job
 * @param now - local time in milliseconds
 * @returns the outlook
 * @example
 * measureOutlook(scheduler, job, now).waitingWork;
 */
export function measureOutlook(scheduler: Scheduler, job: ActiveJob, now: number): JobOutlook {
	const known = job.outlook;
	if (known?.changes === job.changes && known.configuration === scheduler.configuration && (now - known.measuredAt < outlookLifetimeMs || areEstimatesUnchanged(scheduler, known))) {
		known.measuredAt = now - known.measuredAt < outlookLifetimeMs ? known.measuredAt : now;
		return known;
	}

	const {service, priority, stretch, targetLatencyMs} = findQueuePolicy(scheduler, job);
	const current = job.occurrences.get(job.completedOccurrences) ?? [];
	const work = estimateWork(scheduler, job);
	const meanWork = known === undefined ? updateMeanWork(scheduler, job, work) : scheduler.meanWorkByQueue.get(job.definition.queue) ?? work;
	const outlook: JobOutlook = {
		job,
		organisation: job.definition.organisation,
		dueAt: job.acceptedAt + findDelay(job),
		changes: job.changes,
		configuration: scheduler.configuration,
		measuredAt: now,
		service,
		priority,
		isLongRunning: job.definition.steps.some(({longRunning}) => longRunning),
		objectiveMs: (stretch * estimateCriticalPath(scheduler, job)) + targetLatencyMs,
		remainingMs: estimateCriticalPath(scheduler, job, position => current[position]?.remaining !== 0),
		value: fixedValue + (meanWork > 0 ? (1 - fixedValue) * work / meanWork : 1 - fixedValue),
		...measureWaitingTasks(scheduler, job),
		durations: job.definition.steps.map((_, position) => estimateDuration(scheduler, job, position)),
		meanWork,
		rating: Number.NaN,
		ratingClass: 0,
		position: 0,
		decision: -1,
		changedAtDecision: 0,
	};
	job.outlook = outlook;
	return outlook;
}

/** Tells whether an outlook that has reached its lifetime would be measured as the same again. */
function areEstimatesUnchanged(scheduler: Scheduler, {job, durations, meanWork}: JobOutlook): boolean {
	return scheduler.meanWorkByQueue.get(job.definition.queue) === meanWork
		&& durations.every((duration, position) => estimateDuration(scheduler, job, position) === duration);
}

/** Time from the acceptance of a job to the due time of its current occurrence, in milliseconds. */
function findDelay({definition, completedOccurrences}: ActiveJob): number {
	const {repeatCount, startAtMs, intervalMs, acceptedAtMs} = definition;
	return repeatCount === 0 ? 0 : Math.max(0, startAtMs + (completedOccurrences * intervalMs) - acceptedAtMs);
}

function updateMeanWork({meanWorkByQueue}: Scheduler, {definition}: ActiveJob, work: number): number {
	const previous = meanWorkByQueue.get(definition.queue) ?? work;
	const mean = previous + (meanWorkGain * (work - previous));
	meanWorkByQueue.set(definition.queue, mean);
	return mean;
}

function measureWaitingTasks(scheduler: Scheduler, job: ActiveJob): {waiting: Resources; waitingWork: number} {
	const waiting = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
	let waitingWork = 0;
	for (const steps of job.occurrences.values()) {
		for (const [position, step] of steps.entries()) {
			const {remaining, groups} = step;
			const definition = groups[0]?.definition;
			if (remaining === 0 || definition === undefined) {
				continue;
			}

			const count = countUnassignedTasks(step);
			waitingWork += count * definition.cpuMillis * estimateDuration(scheduler, job, position);
			if (isStepReady(steps, step)) {
				const need = getReservedResources(definition);
				waiting.cpuMillis += count * need.cpuMillis;
				waiting.memoryMb += count * need.memoryMb;
				waiting.accelerators += count * need.accelerators;
			}
		}
	}

	return {waiting, waitingWork};
}

function countUnassignedTasks({groups}: StepState): number {
	let count = 0;
	for (const {done, tasks} of groups) {
		if (done) {
			continue;
		}

		for (const {state} of tasks) {
			count += Number(state === 'unassigned');
		}
	}

	return count;
}
