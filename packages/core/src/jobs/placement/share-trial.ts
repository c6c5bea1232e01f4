import {isolationMs} from '../state/constants.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type ActiveJob, type TaskGroup, type Worker} from '../state/scheduler.js';
import {beginTrial} from './begin-trial.js';
import {ensureTickets} from './ensure-tickets.js';
import {mayStartUnderLimit} from './may-start-under-limit.js';
import {type OrderBudget} from './order-budget.js';
import {placeGroup} from './place-group.js';
import {type Suspect} from './suspect.js';
import {type TicketRequest} from './ticket-request.js';

/** Time within which all suspected tasks of a service are to be tried, in milliseconds; three trials one after another. */
const trialPeriodMs = 6000;

type Options = {
	/** All suspected tasks that wait, in the order of their trials. */
	readonly suspects: readonly Suspect[];
	/** Jobs with a task under trial, to which those of the tasks added are added. */
	readonly jobsInIsolation: Set<ActiveJob>;
	/** Workers of the service on which tasks are tried at the same time. */
	readonly trialWorkers: number;
	readonly budget: OrderBudget;
	readonly requests: TicketRequest[];
};

/**
 * Starts further suspected tasks on a worker on which one has just been started, if there are too many to be tried alone
 * in time. A crash leaves only these as suspects, and at most half of them share the next trial.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @param first - the task group that has been started
 * @param options - the suspected tasks that wait, and how many workers try them
 * @example
 * shareTrial(context, group, {suspects, jobsInIsolation, trialWorkers: 4, budget, requests});
 */
export function shareTrial(context: ReducerContext, first: TaskGroup, options: Options): void {
	const {suspects, jobsInIsolation, budget, requests} = options;
	const {scheduler} = context;
	const worker = first.tasks[0]?.worker;
	const {service} = findQueuePolicy(scheduler, first.job);
	const waiting = suspects.filter(({group}) => isUnassigned(group) && !jobsInIsolation.has(group.job) && isShareable(group, context.now) && findQueuePolicy(scheduler, group.job).service === service);
	if (worker === undefined || !isShareable(first, context.now)) {
		return;
	}

	const size = measureTrialSize(waiting, {...options, survived: scheduler.survivedTrials.get(service) ?? 0, now: context.now});
	let limit = Math.min(size, findShareLimit(first));
	let count = 1;
	for (const {group, step} of waiting) {
		if (count >= limit || budget.orders <= 0) {
			break;
		}

		if (findShareLimit(group) <= count || jobsInIsolation.has(group.job) || !mayStartUnderLimit(scheduler, group, context.now) || !ensureTickets(context, step, {workers: [worker], requests})) {
			continue;
		}

		if (placeBeside(context, {group, step}, worker)) {
			limit = Math.min(limit, findShareLimit(group));
			count++;
			budget.orders--;
			jobsInIsolation.add(group.job);
		}
	}

	if (count > 1 && first.isolation !== undefined) {
		first.isolation = {...first.isolation, isShared: true};
	}
}

/** Long-running tasks have a bound of their own on the time for which they wait. What more than one crash speaks against is tried alone, and at first what has failed a shared trial. */
function isShareable({definition, crashedRuns, hasFailedSharedTrial, unassignedSince}: TaskGroup, now: number): boolean {
	return !definition.longRunning && crashedRuns.size <= 1 && (!hasFailedSharedTrial || now - unassignedSince > trialPeriodMs);
}

/** Largest number of tasks in a trial of a group: half of those that may have caused the latest crash, so that each crash narrows the suspicion. */
function findShareLimit({suspectCount}: TaskGroup): number {
	return Math.max(1, Math.ceil(suspectCount / 2));
}

/**
 * Measures how many tasks share a worker: as many as have to so that all are tried in time, but no more at once than have
 * survived their trials since the last crash. So the number of trials grows with the logarithm of the number of tasks
 * where none is at fault, and few tasks share a worker where some are.
 */
function measureTrialSize(waiting: readonly Suspect[], {trialWorkers, survived, now}: {trialWorkers: number; survived: number; now: number}): number {
	const longestWaitMs = Math.max(0, ...waiting.map(({group}) => now - group.unassignedSince));
	const trials = Math.max(1, Math.ceil((trialPeriodMs - longestWaitMs) / isolationMs));
	return Math.min(Math.ceil((waiting.length + 1) / (trialWorkers * trials)), Math.ceil((survived + 1) / trialWorkers));
}

/** Starts a suspected task on the worker of the trial; returns false if it has no room or ticket for it. */
function placeBeside(context: ReducerContext, {group, step}: Suspect, worker: Worker): boolean {
	if (placeGroup(context, group, {step, workers: [worker]}) !== 'placed') {
		return false;
	}

	beginTrial(context, group, {isShared: true});
	return true;
}
