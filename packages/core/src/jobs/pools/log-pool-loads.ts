import {addResources} from '../placement/add-resources.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {isStepReady} from '../state/is-step-ready.js';
import {mayStartUnderLimit} from '../placement/may-start-under-limit.js';
import {listSchedulableWorkers} from '../placement/list-schedulable-workers.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type ActiveJob} from '../state/scheduler.js';
import {measureReserves} from './measure-reserves.js';
import {predictNextStart} from './predict-next-start.js';

type WaitingWork = {tasks: number; jobs: number; jobsAtLimit: number};

/**
 * Logs for each pool what it has and what waits for it, so that the log shows why jobs wait: for workers, for free
 * capacity on them, or for the limit of their organisation.
 *
 * @param context - the reducer context; effects are added
 * @example
 * logPoolLoads(context);
 */
export function logPoolLoads(context: ReducerContext): void {
	const {scheduler, now} = context;
	const schedulable = listSchedulableWorkers(scheduler, now);
	const waiting = measureWaitingWork(context);
	const reserves = measureReserves(scheduler, [...scheduler.poolLoads.keys()], now);
	const next = predictNextStart(scheduler.burstPattern);
	for (const {name, workers, capacity, used, demand} of scheduler.poolLoads.values()) {
		const usable = schedulable.get(name) ?? [];
		const free = usable.reduce((sum, worker) => sum + addResources(worker.listing?.capacity ?? worker.used, worker.used, -1).cpuMillis, 0);
		const {tasks = 0, jobs = 0, jobsAtLimit = 0} = waiting.get(name) ?? {};
		context.effects.push({
			type: 'log', level: 'info', event: 'pool-load', fields: {
				pool: name, workers: workers.length, schedulable: usable.length, capacity, used: Math.round(used), free, forecast: Math.round(demand.forecast), waitingJobs: jobs, waitingTasks: tasks, jobsAtLimit, kept: reserves.get(name)?.kept, prepared: reserves.get(name)?.prepared, nextBurstMs: next === undefined ? undefined : Math.round(next.at - now), nextBurstErrorMs: next === undefined ? undefined : Math.round(next.errorMs),
			},
		});
	}
}

function measureWaitingWork({scheduler, now}: ReducerContext): Map<string, WaitingWork> {
	const waiting = new Map<string, WaitingWork>();
	for (const job of scheduler.jobs.values()) {
		const {tasks, isAtLimit} = measureWaitingTasks(scheduler, job, now);
		if (tasks === 0) {
			continue;
		}

		const {service} = findQueuePolicy(scheduler, job);
		const work = waiting.get(service) ?? {tasks: 0, jobs: 0, jobsAtLimit: 0};
		waiting.set(service, {tasks: work.tasks + tasks, jobs: work.jobs + 1, jobsAtLimit: work.jobsAtLimit + Number(isAtLimit)});
	}

	return waiting;
}

function measureWaitingTasks(scheduler: ReducerContext['scheduler'], job: ActiveJob, now: number): {tasks: number; isAtLimit: boolean} {
	let count = 0;
	let isAtLimit = false;
	if (job.cancelled || job.end !== undefined) {
		return {tasks: count, isAtLimit};
	}

	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (!isStepReady(steps, step)) {
				continue;
			}

			for (const group of step.groups) {
				const {done, tasks} = group;
				if (!done && tasks.every(({state}) => state === 'unassigned')) {
					count += tasks.length;
					isAtLimit ||= !mayStartUnderLimit(scheduler, group, now);
				}
			}
		}
	}

	return {tasks: count, isAtLimit};
}
