import {countOpenOrders} from '../runs/count-open-orders.js';
import {type Resources} from '../state/configuration-schema.js';
import {maximumPlacementFailures} from '../state/constants.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {isWithinLimit} from '../order/is-within-limit.js';
import {isSuspect} from '../crashes/is-suspect.js';
import {isStepReady} from '../state/is-step-ready.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {measureUnreconciledUsage} from '../order/measure-unreconciled-usage.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {logOrder} from '../order/log-order.js';
import {orderJobs} from '../order/order-jobs.js';
import {
	type ActiveJob, type Task, type Scheduler, type StepState, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {getReservedResources} from './get-reserved-resources.js';
import {reserveWorker} from './reserve-worker.js';
import {type OrderBudget, placeIsolatedGroups} from './place-isolated-groups.js';
import {placeGroup} from './place-group.js';
import {listSchedulableWorkers} from './list-schedulable-workers.js';
import {ensureTickets} from './ensure-tickets.js';

/** Maximum number of workers in a log line. */
const maximumLoggedWorkers = 4;

/** Stands for the service of a worker that the store no longer lists; it may run tasks of any service. */
const unknownService = '';

const noUnreconciledUsage = new Map<string, Resources>();

/**
 * Places the tasks of ready steps on workers with free capacity, in the order of `orderJobs`, and starts them.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @example
 * placeReadyTasks(context);
 */
export function placeReadyTasks(context: ReducerContext): void {
	const {scheduler, now} = context;
	const unreconciledServices = listUnreconciledServices(scheduler, now);
	scheduler.unreconciledByOrganisation = unreconciledServices.size === 0 ? noUnreconciledUsage : measureUnreconciledUsage(scheduler, now, job => mayStillRun(scheduler, job, unreconciledServices));
	const waiting: ActiveJob[] = [];
	for (const job of scheduler.jobs.values()) {
		if (job.cancelled || job.end !== undefined || (job.recovered && mayStillRun(scheduler, job, unreconciledServices))) {
			continue;
		}

		if (hasReadyGroups(job)) {
			waiting.push(job);
		}
	}

	const budget = {orders: scheduler.orderWindow.size - countOpenOrders(scheduler)};
	if (waiting.length === 0 || budget.orders <= 0) {
		scheduler.contention.clear();
		return;
	}

	const schedulable = listSchedulableWorkers(scheduler, now);
	const failures = new Map<string, number>();
	const limitFailures = new Map<string, number>();
	const ordered = orderJobs(scheduler, waiting, now);
	logOrder(context);
	placeIsolatedGroups(context, {jobs: ordered, schedulable, budget});
	for (const job of ordered) {
		if (budget.orders <= 0) {
			return;
		}

		const {organisation} = job.definition;
		const service = job.outlook?.service ?? findQueuePolicy(scheduler, job).service;
		const workers = schedulable.get(service) ?? [];
		if (workers.length > 0 && (failures.get(service) ?? 0) < maximumPlacementFailures && (limitFailures.get(organisation) ?? 0) < maximumPlacementFailures) {
			const unplaced = placeJob(context, job, {workers, budget});
			for (const group of unplaced) {
				// An organisation at its upper limit must not keep the others from the service.
				if (isWithinLimit(scheduler, job, getReservedResources(group.definition))) {
					failures.set(service, (failures.get(service) ?? 0) + 1);
				} else {
					limitFailures.set(organisation, (limitFailures.get(organisation) ?? 0) + 1);
				}

				if (group.definition.longRunning) {
					reserveWorker(context, group, workers);
				}
			}
		}
	}
}

/** Services of workers that may run tasks of a former owner and have not answered yet. */
function listUnreconciledServices(scheduler: Scheduler, now: number): Set<string> {
	const services = new Set<string>();
	for (const {unreconciledUntil, listing} of scheduler.workers.values()) {
		if (unreconciledUntil > now) {
			services.add(listing?.service ?? unknownService);
		}
	}

	return services;
}

/** Tells whether tasks of a job may still run on a worker that has not answered. */
function mayStillRun(scheduler: Scheduler, job: ActiveJob, unreconciledServices: ReadonlySet<string>): boolean {
	return unreconciledServices.has(unknownService) || unreconciledServices.has(job.definition.service) || unreconciledServices.has(findQueuePolicy(scheduler, job).service);
}

function hasReadyGroups(job: ActiveJob): boolean {
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (isStepReady(steps, step) && step.groups.some(group => isUnassigned(group))) {
				return true;
			}
		}
	}

	return false;
}

/** Places as many tasks of a job as possible and returns the first group of each step that does not fit. */
function placeJob(context: ReducerContext, job: ActiveJob, options: {workers: readonly Worker[]; budget: OrderBudget}): TaskGroup[] {
	const {workers, budget} = options;
	const unplaced: TaskGroup[] = [];
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (isStepReady(steps, step) && ensureTickets(context, step, workers)) {
				const first = placeStep(context, step, {workers, budget});
				if (first !== undefined) {
					unplaced.push(first);
				}
			}
		}
	}

	return unplaced;
}

function placeStep(context: ReducerContext, step: StepState, options: {workers: readonly Worker[]; budget: OrderBudget}): TaskGroup | undefined {
	const {workers, budget} = options;
	const placed: Task[] = [];
	let unplaced: TaskGroup | undefined;
	if (isHeldBack(context.scheduler, step)) {
		return undefined;
	}

	for (const group of step.groups) {
		if (budget.orders <= 0) {
			break;
		}

		if (!isUnassigned(group) || group.earliestStartAt > context.now || isSuspect(context.scheduler, group)) {
			continue;
		}

		if (!placeGroup(context, group, {step, workers})) {
			unplaced = group;
			break;
		}

		placed.push(...group.tasks);
		budget.orders -= group.tasks.length;
	}

	logPlacement(context, step, placed);
	return unplaced;
}

/** The tasks of a step are identical, so while one of them may crash its worker, the others wait. Long-running tasks have to be up soon. */
function isHeldBack(scheduler: Scheduler, {groups}: StepState): boolean {
	return groups.some(group => !group.done && !group.definition.longRunning && isSuspect(scheduler, group));
}

/** Logs one line for all tasks of a step that are placed at once. */
function logPlacement({effects, now}: ReducerContext, stepState: StepState, placed: readonly Task[]): void {
	const [first] = placed;
	if (first === undefined) {
		return;
	}

	const {job} = first.group;
	effects.push({
		type: 'log',
		level: 'info',
		event: 'tasks-placed',
		fields: {
			job: job.definition.id, occurrence: stepState.occurrence, step: stepState.step, placed: placed.length, of: stepState.remaining, run: first.run, ageMs: Math.round(now - job.acceptedAt),
			workers: [...new Set(placed.map(({worker}) => worker?.id))].slice(0, maximumLoggedWorkers),
		},
	});
}
