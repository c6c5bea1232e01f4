import {measureOutlook} from '../order/measure-outlook.js';
import {type Scheduler} from '../state/scheduler.js';
import {type BacklogView, type WaitingJob} from './view-schema.js';

/** Maximum number of waiting jobs of a service in the view; later ones are only counted, because the view has 16 kB. */
const maximumListedJobs = 60;

/** Thousandths of a core times milliseconds in a tenth of a core-second, the step to which work is rounded. */
const workStep = 100_000;

const stepsPerCoreSecond = 10;

/**
 * Measures the waiting jobs of each service, in the order in which the last decision would place them.
 *
 * @param scheduler - the state; outlooks that are out of date are measured again
 * @param now - local time in milliseconds
 * @returns number and work of the waiting jobs by service, and the first of them with place and work ahead
 * @example
 * measureBacklogs(scheduler, now).jobs[0];
 */
export function measureBacklogs(scheduler: Scheduler, now: number): {backlogs: BacklogView[]; jobs: WaitingJob[]} {
	const totals = new Map<string, {jobs: number; work: number}>();
	const listed: WaitingJob[] = [];
	for (const job of scheduler.placementOrder) {
		if (job.cancelled || job.end !== undefined) {
			continue;
		}

		// An outlook that is only old shows the same tasks.
		const {service, waiting, waitingWork} = job.outlook?.changes === job.changes ? job.outlook : measureOutlook(scheduler, job, now);
		if (waiting.cpuMillis + waiting.memoryMb + waiting.accelerators === 0) {
			continue;
		}

		const total = totals.get(service) ?? {jobs: 0, work: 0};
		totals.set(service, total);
		total.jobs++;
		if (total.jobs <= maximumListedJobs) {
			listed.push([service, job.definition.id, total.jobs, roundWork(total.work)]);
		}

		total.work += waitingWork;
	}

	return {
		backlogs: [...totals].map(([service, {jobs, work}]) => ({service, jobs, work: roundWork(work)})),
		// If the view is too small for all, each service keeps its first jobs.
		jobs: listed.toSorted((left, right) => left[2] - right[2]),
	};
}

function roundWork(work: number): number {
	return Math.round(work / workStep) / stepsPerCoreSecond;
}
