import {estimateCriticalPath} from '@rosemaryquay/core/jobs/estimates/estimate-critical-path';
import {estimateWork} from '@rosemaryquay/core/jobs/estimates/estimate-work';
import {classifyLateness} from '@rosemaryquay/core/jobs/order/classify-lateness';
import {measureOutlook} from '@rosemaryquay/core/jobs/order/measure-outlook';
import {orderJobs} from '@rosemaryquay/core/jobs/order/order-jobs';
import {findQueuePolicy} from '@rosemaryquay/core/jobs/state/find-queue-policy';
import {type ActiveJob, type Scheduler} from '@rosemaryquay/core/jobs/state/scheduler';
import {type JobOrder} from './order-simulation.js';

/** Keys of a job, compared from left to right, lower values first. */
type Keys = (scheduler: Scheduler, job: ActiveJob, now: number) => readonly number[];

/** Orders that were weighed; the first is that of earlier versions. */
export const comparedOrders: Readonly<Record<string, JobOrder>> = {
	previous: orderBy((scheduler, job, now) => [findQueuePolicy(scheduler, job).priority, classifyLateness(scheduler, job, now), measureRemainingWork(scheduler, job)]),
	earliestDeadline: orderBy((scheduler, job, now) => [measureOutlook(scheduler, job, now).objectiveMs + job.acceptedAt]),
	leastLaxity: orderBy((scheduler, job, now) => [measureOutlook(scheduler, job, now).objectiveMs + job.acceptedAt - measureRemainingPath(scheduler, job)]),
	weightedShortestWork: orderBy((scheduler, job, now) => [measureRemainingWork(scheduler, job) / measureOutlook(scheduler, job, now).value]),
	ageingDensity: orderBy((scheduler, job, now) => {
		const {value, objectiveMs} = measureOutlook(scheduler, job, now);
		return [-value / measureRemainingWork(scheduler, job) * (1 + ((now - job.acceptedAt) / objectiveMs))];
	}),
	orderJobs,
};

function orderBy(keys: Keys): JobOrder {
	return (scheduler, jobs, now) => jobs.map(job => ({job, keys: keys(scheduler, job, now)})).toSorted((left, right) => compareKeys(left.keys, right.keys)).map(({job}) => job);
}

function compareKeys(left: readonly number[], right: readonly number[]): number {
	for (const [position, value] of left.entries()) {
		const difference = value - (right[position] ?? 0);
		if (difference !== 0) {
			return difference;
		}
	}

	return 0;
}

function measureRemainingWork(scheduler: Scheduler, job: ActiveJob): number {
	const current = job.occurrences.get(job.completedOccurrences) ?? [];
	return estimateWork(scheduler, job, position => current[position]?.remaining ?? 0);
}

function measureRemainingPath(scheduler: Scheduler, job: ActiveJob): number {
	const current = job.occurrences.get(job.completedOccurrences) ?? [];
	return estimateCriticalPath(scheduler, job, position => current[position]?.remaining !== 0);
}
