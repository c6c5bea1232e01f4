import {countOpenOrders} from '../runs/count-open-orders.js';
import {type Resources} from '../state/configuration-schema.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {isStepReady} from '../state/is-step-ready.js';
import {measureUnreconciledUsage} from '../order/measure-unreconciled-usage.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {logOrder} from '../order/log-order.js';
import {orderJobs} from '../order/order-jobs.js';
import {
	type ActiveJob, type Task, type Scheduler, type StepState, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {isWorthTrying} from './is-worth-trying.js';
import {recordFailure} from './record-failure.js';
import {reserveWorkers} from './reserve-workers.js';
import {type RoundFailures} from './round-failures.js';
import {type OrderBudget} from './order-budget.js';
import {placeIsolatedGroups} from './place-isolated-groups.js';
import {hasReadyTasks} from './has-ready-tasks.js';
import {isHeldBack} from './is-held-back.js';
import {type Placement, placeGroup} from './place-group.js';
import {type RackForecasts} from './rack-forecast.js';
import {updateDataWait} from './update-data-wait.js';
import {findObtainableWorkers} from './find-obtainable-workers.js';
import {hasRoomForTrial} from './has-room-for-trial.js';
import {hasAssignedTask} from './has-assigned-task.js';
import {needsTrial} from './needs-trial.js';
import {planScreening} from './plan-screening.js';
import {type Screening} from './screening.js';
import {listSchedulableWorkers} from './list-schedulable-workers.js';
import {listUnreconciledServices} from './list-unreconciled-services.js';
import {mayStartUnderLimit} from './may-start-under-limit.js';
import {mayRunOnServices} from './may-run-on-services.js';
import {prepareStart} from './prepare-start.js';
import {mayStillRun} from './may-still-run.js';
import {ensureTickets} from './ensure-tickets.js';
import {sendTicketRequests} from './send-ticket-requests.js';
import {type TicketRequest} from './ticket-request.js';

/** Maximum number of workers in a log line. */
const maximumLoggedWorkers = 4;

type Unplaced = {readonly group: TaskGroup; readonly step: StepState};

type RoundOptions = {workers: readonly Worker[]; budget: OrderBudget; forecasts: RackForecasts; screening: Screening | undefined; requests: TicketRequest[]};

const noUnreconciledUsage = new Map<string, Resources>();

const noScreenings = new Map<string, Screening>();

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
	scheduler.unreconciledServices = unreconciledServices;
	scheduler.unreconciledByOrganisation = unreconciledServices.size === 0 ? noUnreconciledUsage : measureUnreconciledUsage(scheduler, now, group => mayStillRun(scheduler, group, {unreconciledServices, now}));
	const waiting = listWaitingJobs(scheduler, unreconciledServices);
	const budget = {orders: scheduler.orderWindow.size - countOpenOrders(scheduler)};
	if (waiting.length === 0 || budget.orders <= 0) {
		scheduler.contention.clear();
		scheduler.screenings = noScreenings;
		return;
	}

	const schedulable = listSchedulableWorkers(scheduler, now);
	const ordered = orderJobs(scheduler, waiting, now);
	logOrder(context);
	const requests: TicketRequest[] = [];
	const suspectedJobs = placeIsolatedGroups(context, {
		jobs: ordered, schedulable, budget, requests,
	});
	scheduler.screenings = planScreening(scheduler, {suspectedJobs, schedulable, now});
	placeJobs(context, {
		jobs: ordered, schedulable, budget, requests,
	});
	sendTicketRequests(context, requests);
}

function placeJobs(context: ReducerContext, options: {jobs: readonly ActiveJob[]; schedulable: ReadonlyMap<string, Worker[]>; budget: OrderBudget; requests: TicketRequest[]}): void {
	const {scheduler, now} = context;
	const {jobs, schedulable, budget, requests} = options;
	const forecasts: RackForecasts = {byRack: new Map(), lastWait: undefined};
	const failures: RoundFailures = {byService: new Map(), byOrganisation: new Map()};
	for (const job of jobs) {
		if (budget.orders <= 0) {
			return;
		}

		const service = job.outlook?.service ?? findQueuePolicy(scheduler, job).service;
		const workers = schedulable.get(service) ?? [];
		if (workers.length === 0 || !isWorthTrying(scheduler, job, {service, failures})) {
			continue;
		}

		for (const {group, step} of placeJob(context, job, {
			workers, budget, forecasts, screening: scheduler.screenings.get(service), requests,
		})) {
			recordFailure(scheduler, failures, {
				group, step, service, workers, now,
			});
			if (group.definition.longRunning) {
				reserveWorkers(context, group, {step, workers});
			}
		}
	}
}

/** Jobs with tasks that can be placed. A recovered job waits while a former owner may have started its tasks unseen. */
function listWaitingJobs(scheduler: Scheduler, unreconciledServices: ReadonlySet<string>): ActiveJob[] {
	const waiting: ActiveJob[] = [];
	for (const job of scheduler.jobs.values()) {
		if (job.cancelled || job.end !== undefined || (mayRunOnServices(job, unreconciledServices) && !job.hasFormerRuns)) {
			continue;
		}

		if (hasReadyTasks(job)) {
			waiting.push(job);
		}
	}

	return waiting;
}

/** Places as many tasks of a job as possible and returns the first group of each step that does not fit. */
function placeJob(context: ReducerContext, job: ActiveJob, options: RoundOptions): Unplaced[] {
	const {workers, requests} = options;
	const unplaced: Unplaced[] = [];
	let isWaiting = false;
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (isStepReady(steps, step) && ensureTickets(context, step, {workers, requests})) {
				const {first, waiting} = placeStep(context, step, options);
				isWaiting ||= waiting;
				if (first !== undefined) {
					unplaced.push({group: first, step});
				}
			}
		}
	}

	updateDataWait(context, job, {isWaiting, isUnplaced: unplaced.length > 0});

	return unplaced;
}

/** Places as many tasks of a step as possible. Returns the first group that does not fit, and whether groups wait for capacity near their data. */
function placeStep(context: ReducerContext, step: StepState, options: RoundOptions): {first: TaskGroup | undefined; waiting: boolean} {
	const {budget} = options;
	const placed: Task[] = [];
	let first: TaskGroup | undefined;
	let waiting = false;
	if (isHeldBack(step)) {
		return {first, waiting};
	}

	const isTried = options.screening !== undefined && needsTrial(step);
	if (isTried && hasAssignedTask(step)) {
		return {first, waiting};
	}

	for (const group of step.groups) {
		if (budget.orders <= 0) {
			break;
		}

		if (group.suspected || !prepareStart(context, group)) {
			continue;
		}

		const placement = placeScreened(context, group, {...options, step, isTried});
		if (placement === 'unplaced') {
			// A wait for a place on a trial worker must not count as a service without room.
			first = isTried ? undefined : group;
			if (step.tickets !== undefined) {
				step.tickets.isInsufficient = mayStartUnderLimit(context.scheduler, group, context.now);
			}

			break;
		}

		if (placement === 'waiting') {
			waiting = true;
			continue;
		}

		budget.orders -= group.tasks.length;
		if (placement === 'unrecorded') {
			break;
		}

		placed.push(...group.tasks);
		if (isTried) {
			break;
		}
	}

	logPlacement(context, step, placed);
	return {first, waiting};
}

/** Places a group; while tasks of its service crash their workers, apart from tasks that have not shown yet that they do not. */
function placeScreened(context: ReducerContext, group: TaskGroup, options: RoundOptions & {step: StepState; isTried: boolean}): Placement {
	const {step, workers, forecasts, screening, isTried} = options;
	if (screening === undefined || group.definition.longRunning) {
		return placeGroup(context, group, {step, workers, forecasts});
	}

	const trialWorkers = workers.filter(worker => screening.trialWorkers.includes(worker));
	if (isTried && findObtainableWorkers(group, step, trialWorkers) !== undefined) {
		return placeGroup(context, group, {step, workers: trialWorkers.filter(worker => hasRoomForTrial(worker)), forecasts});
	}

	const others = workers.filter(worker => !screening.trialWorkers.includes(worker));
	const placement = placeGroup(context, group, {step, workers: others, forecasts});
	return placement === 'unplaced' ? placeGroup(context, group, {step, workers, forecasts}) : placement;
}

/** Logs one line for all tasks of a step that are placed at once. */
function logPlacement({effects, now}: ReducerContext, stepState: StepState, placed: readonly Task[]): void {
	const [first] = placed;
	if (first === undefined) {
		return;
	}

	const {job} = first.group;
	const workers = [...new Set(placed.map(({worker}) => worker))].slice(0, maximumLoggedWorkers);
	effects.push({
		type: 'log',
		level: 'info',
		event: 'tasks-placed',
		fields: {
			job: job.definition.id, occurrence: stepState.occurrence, step: stepState.step, placed: placed.length, of: stepState.remaining, run: first.run, ageMs: Math.round(now - job.acceptedAt),
			workers: workers.map(worker => worker?.id), startedAtMs: workers.map(worker => worker?.startedAtMs),
		},
	});
}
