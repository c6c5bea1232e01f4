import {unconfirmedCrashLimit} from '../state/constants.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {giveUpTask} from '../runs/give-up-task.js';
import {clearProvenSuspicion} from '../crashes/clear-proven-suspicion.js';
import {isHarmless} from '../crashes/is-harmless.js';
import {isIsolated} from '../crashes/is-isolated.js';
import {isStepReady} from '../state/is-step-ready.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {
	type ActiveJob, type Scheduler, type StepState, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {mayStartUnderLimit} from './may-start-under-limit.js';
import {beginTrial} from './begin-trial.js';
import {placeGroup} from './place-group.js';
import {getReservedResources} from './get-reserved-resources.js';
import {fitsInto} from './fits-into.js';
import {addResources} from './add-resources.js';
import {ensureTickets} from './ensure-tickets.js';
import {isEligible} from './is-eligible.js';
import {type OrderBudget} from './order-budget.js';
import {type TicketRequest} from './ticket-request.js';
import {prepareStart} from './prepare-start.js';
import {satisfiesAntiAffinity} from './satisfies-anti-affinity.js';
import {shareTrial} from './share-trial.js';
import {type Suspect} from './suspect.js';

/** Largest part of a service's workers that run tasks in isolation at the same time; one at least. */
const isolatedWorkerFraction = 0.25;

/** The same part while no more than this part of the service's cores is in use. */
const idleFraction = 0.5;

/** Time that a suspected task waits for the worker that gets no other tasks to become empty, in milliseconds; then it is started beside the tasks that are left. */
const maximumEmptyingMs = 3000;

/** Time for which a long-running task under which a single worker has crashed waits for isolation, in milliseconds. The crash was probably not its fault, and it has to run again within 6 s of its last run, of which the detection of the crash takes up to 3.4 s. */
const longRunningIsolationWaitMs = 2000;

/**
 * Places tasks that may have crashed a worker, one of each job at a time, and each on a worker without other tasks but
 * long-running ones that have been up for long. Where there are too many to be tried one after another, several share a
 * worker. Of long-running ones under which a single worker has crashed, one of each step is placed at a time. A worker that is being emptied for one gets no other tasks in this round.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @param options - jobs with ready tasks in the order of their ranks, schedulable workers by service, from which the workers taken are removed, the order budget, and the requests for tickets of this round, to which some may be added
 * @returns number of jobs with a suspected task that waits, by service
 * @example
 * placeIsolatedGroups(context, {jobs, schedulable, budget, requests});
 */
export function placeIsolatedGroups(context: ReducerContext, options: {jobs: readonly ActiveJob[]; schedulable: ReadonlyMap<string, Worker[]>; budget: OrderBudget; requests: TicketRequest[]}): Map<string, number> {
	const {scheduler, now} = context;
	const {jobs, schedulable, budget, requests} = options;
	const suspects = jobs.flatMap(job => listSuspects(context, job))
		.toSorted((left, right) => left.group.crashedRuns.size - right.group.crashedRuns.size);
	const suspectedJobs = countJobs(scheduler, suspects);
	if (suspects.length === 0) {
		return suspectedJobs;
	}

	const {jobsInIsolation, countByService} = countTrialWorkers(scheduler, now);
	for (const {group, step} of suspects) {
		if (!isUnassigned(group)) {
			continue;
		}

		const {service} = findQueuePolicy(scheduler, group.job);
		const count = countByService.get(service) ?? 0;
		const workers = schedulable.get(service) ?? [];
		const isFull = count >= findIsolationLimit(scheduler, service);
		const isOverdue = isIsolationOverdue(group, now);
		if (budget.orders <= 0 || (jobsInIsolation.has(group.job) && !mayBeTriedBeside(group)) || (isFull && !isOverdue)) {
			continue;
		}

		if (group.crashedRuns.size >= unconfirmedCrashLimit && !group.definition.longRunning) {
			giveUpTask(context, group);
			continue;
		}

		if (!mayStartUnderLimit(scheduler, group, now) || !ensureTickets(context, step, {workers, requests})) {
			continue;
		}

		const placement = isFull ? 'unplaced' : placeSuspect(context, {group, step}, {workers, mayEmpty: !isOverdue});
		if (placement === 'unplaced' && isOverdue && placeGroup(context, group, {step, workers}) === 'placed') {
			budget.orders--;
			continue;
		}

		if (placement === 'unplaced') {
			if (step.tickets !== undefined) {
				step.tickets.isInsufficient = true;
			}

			continue;
		}

		countByService.set(service, count + 1);
		jobsInIsolation.add(group.job);
		if (placement === 'started') {
			budget.orders--;
			// Those that can still try it, those that try others, and the one that it has just been started on.
			const trialWorkers = Math.min(findIsolationLimit(scheduler, service), countSuitable({group, step}, workers) + count + 1);
			shareTrial(context, group, {
				suspects, jobsInIsolation, trialWorkers, budget, requests,
			});
		}
	}

	return suspectedJobs;
}

function countJobs(scheduler: Scheduler, suspects: readonly Suspect[]): Map<string, number> {
	const counts = new Map<string, number>();
	for (const job of new Set(suspects.map(({group}) => group.job))) {
		const {service} = findQueuePolicy(scheduler, job);
		counts.set(service, (counts.get(service) ?? 0) + 1);
	}

	return counts;
}

/**
 * Lists the first suspected group of each step: one that waits for a label, for example, does not keep those of other steps
 * waiting. The long-running tasks of a step are alike, so the others wait until one has shown whether it crashes its worker.
 */
function listSuspects(context: ReducerContext, job: ActiveJob): Suspect[] {
	const {now} = context;
	const suspects: Suspect[] = [];
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			const group = step.groups.find(candidate => candidate.suspected && prepareStart(context, candidate));
			if (group === undefined || !isStepReady(steps, step)) {
				continue;
			}

			clearProvenSuspicion(context, step);
			if (group.suspected && !step.groups.some(sibling => isOnProbation(sibling, now))) {
				suspects.push({group, step});
			}
		}
	}

	return suspects;
}

/** Tells whether a suspected long-running task runs and has not been up for long. */
function isOnProbation({suspected, definition, tasks}: TaskGroup, now: number): boolean {
	return suspected && definition.longRunning && tasks.some(task => task.worker !== undefined && !isHarmless(task, now));
}

/** Tells whether a suspected task is tried while another one of its job runs in isolation. A job at fault takes down one worker at a time from its second crash on. */
function mayBeTriedBeside({definition, crashedRuns}: TaskGroup): boolean {
	return definition.longRunning && crashedRuns.size <= 1;
}

function isIsolationOverdue({definition, crashedRuns, unassignedSince}: TaskGroup, now: number): boolean {
	return definition.longRunning && crashedRuns.size <= 1 && now - unassignedSince > longRunningIsolationWaitMs;
}

/** Counts the workers on which suspected tasks are tried, and lists the jobs of these tasks. */
function countTrialWorkers(scheduler: Scheduler, now: number): {jobsInIsolation: Set<ActiveJob>; countByService: Map<string, number>} {
	const jobsInIsolation = new Set<ActiveJob>();
	const countByService = new Map<string, number>();
	for (const {tasks} of scheduler.workers.values()) {
		const services = new Set<string>();
		for (const task of tasks) {
			if (isIsolated(task, now)) {
				const {job} = task.group;
				jobsInIsolation.add(job);
				services.add(findQueuePolicy(scheduler, job).service);
			}
		}

		for (const service of services) {
			countByService.set(service, (countByService.get(service) ?? 0) + 1);
		}
	}

	return {jobsInIsolation, countByService};
}

function findIsolationLimit({workers}: Scheduler, service: string): number {
	let count = 0;
	let used = 0;
	let capacity = 0;
	for (const worker of workers.values()) {
		if (worker.listing?.service === service) {
			count++;
			used += worker.used.cpuMillis;
			capacity += worker.listing.capacity.cpuMillis;
		}
	}

	return used <= capacity * idleFraction ? Math.ceil(count * idleFraction) : Math.max(1, Math.floor(count * isolatedWorkerFraction));
}

/** Starts a suspected task on an empty worker, or empties one for it where it may wait. */
function placeSuspect(context: ReducerContext, {group, step}: Suspect, {workers, mayEmpty}: {workers: Worker[]; mayEmpty: boolean}): 'started' | 'emptying' | 'unplaced' {
	const {now} = context;
	const idle = workers.filter(worker => countOtherTasks(worker, now) === 0);
	if (start(context, {group, step}, idle.filter(({tasks}) => tasks.size === 0)) || start(context, {group, step}, idle)) {
		removeWorkerOf(group, workers);
		return 'started';
	}

	const emptied = mayEmpty ? chooseWorkerToEmpty({group, step}, workers, now) : undefined;
	if (emptied === undefined) {
		return 'unplaced';
	}

	// The wait begins with the choice of the worker: until then, the worker has been given other tasks.
	group.emptying = group.emptying?.worker === emptied.id ? group.emptying : {worker: emptied.id, since: now};
	workers.splice(workers.indexOf(emptied), 1);
	return now - group.emptying.since > maximumEmptyingMs && start(context, {group, step}, [emptied]) ? 'started' : 'emptying';
}

/** Keeps to the worker that is being emptied for a group already; otherwise takes the one with the fewest tasks. */
function chooseWorkerToEmpty({group, step}: Suspect, workers: readonly Worker[], now: number): Worker | undefined {
	const suitable = workers.filter(worker => isEligible(group, step, worker) && satisfiesAntiAffinity(group, step, {worker, taken: []}) && fitsOnceEmpty(group, worker, now));
	return suitable.find(({id}) => id === group.emptying?.worker)
		?? suitable.toSorted((left, right) => countOtherTasks(left, now) - countOtherTasks(right, now))[0];
}

function start(context: ReducerContext, {group, step}: Suspect, workers: readonly Worker[]): boolean {
	if (workers.length === 0 || placeGroup(context, group, {step, workers}) !== 'placed') {
		return false;
	}

	beginTrial(context, group, {isShared: false});
	return true;
}

function removeWorkerOf(group: TaskGroup, workers: Worker[]): void {
	const worker = group.tasks[0]?.worker;
	if (worker !== undefined) {
		workers.splice(workers.indexOf(worker), 1);
	}
}

function countOtherTasks(worker: Worker, now: number): number {
	return [...worker.tasks].filter(task => !isHarmless(task, now)).length;
}

/** Counts the workers that can run a suspected task once they are empty. */
function countSuitable({group, step}: Suspect, workers: readonly Worker[]): number {
	return workers.filter(worker => isEligible(group, step, worker)).length;
}

function fitsOnceEmpty({definition}: TaskGroup, worker: Worker, now: number): boolean {
	const {listing} = worker;
	if (listing === undefined) {
		return false;
	}

	let free = listing.capacity;
	for (const task of worker.tasks) {
		if (isHarmless(task, now)) {
			free = addResources(free, getReservedResources(task.group.definition), -1);
		}
	}

	return fitsInto(getReservedResources(definition), free);
}
