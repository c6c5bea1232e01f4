import {countOpenOrders} from '../runs/count-open-orders.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {
	type Scheduler, type StepState, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {addResources} from './add-resources.js';
import {findObtainableWorkers} from './find-obtainable-workers.js';
import {fitsInto} from './fits-into.js';
import {getReservedResources} from './get-reserved-resources.js';
import {getTotalResources} from './get-total-resources.js';
import {isEligible} from './is-eligible.js';
import {isHeldBack} from './is-held-back.js';
import {hasAssignedTask} from './has-assigned-task.js';
import {mayRunOnServices} from './may-run-on-services.js';
import {mayStartUnderLimit} from './may-start-under-limit.js';
import {mayStillRun} from './may-still-run.js';
import {mayUseService} from './may-use-service.js';
import {needsTrial} from './needs-trial.js';
import {satisfiesAntiAffinity} from './satisfies-anti-affinity.js';
import {type Wait} from './wait-reason.js';

/**
 * Explains why a ready task group is not placed. Only reads the state, so it shows what the next round would find.
 *
 * @param scheduler - the state
 * @param group - the group, which is ready and not assigned to workers
 * @param options - its step, schedulable workers and unreconciled services, and the local time in milliseconds
 * @returns the first reason that applies, with what the group waits for
 * @example
 * explainWait(scheduler, group, {step, schedulable, unreconciledServices, now}).reason; // 'limit'
 */
export function explainWait(scheduler: Scheduler, group: TaskGroup, options: {step: StepState; schedulable: ReadonlyMap<string, readonly Worker[]>; unreconciledServices: ReadonlySet<string>; now: number}): Wait {
	const {step, schedulable, unreconciledServices, now} = options;
	const {job, definition, suspected, earliestStartAt} = group;
	const {service} = findQueuePolicy(scheduler, job);
	const workers = schedulable.get(service) ?? [];
	if (mayStillRun(scheduler, group, {unreconciledServices, now})) {
		const mayRunIt = ({id, unreconciledUntil, service: known}: Worker): boolean => unreconciledUntil > now && (group.formerRun === undefined ? mayRunOnServices(job, new Set([known])) : id === group.formerRun.worker);
		return {reason: 'former-owner', details: {workers: listIds(scheduler, mayRunIt), count: [...scheduler.workers.values()].filter(worker => mayRunIt(worker)).length}};
	}

	if (job.otherServices.has(service) && !mayUseService(job, service)) {
		return {reason: 'service-record', details: {service, acceptedFor: job.definition.service}};
	}

	if (group.mayHaveStoredRun) {
		return {reason: 'run-record', details: {worker: group.formerRun?.worker}};
	}

	if (earliestStartAt > now) {
		return {reason: 'restart-delay', details: {leftMs: Math.round(earliestStartAt - now)}};
	}

	if (!mayStartUnderLimit(scheduler, group, now)) {
		const {organisation} = job.definition;
		return {
			reason: 'limit', details: {
				organisation, need: getTotalResources(group), used: scheduler.usedByOrganisation.get(organisation), unreconciled: scheduler.unreconciledByOrganisation.get(organisation), limit: scheduler.configuration.organisations.find(({name}) => name === organisation)?.limit,
			},
		};
	}

	if (suspected) {
		return {reason: 'isolation', details: {crashes: group.crashedRuns.size, worker: group.emptying?.worker, workers: workers.length}};
	}

	if (isHeldBack(step)) {
		return {reason: 'step-in-isolation', details: {suspected: step.groups.filter(other => other.suspected && !other.done).map(({tasks}) => tasks[0]?.id).slice(0, 4)}};
	}

	if (workers.length === 0) {
		return {reason: 'no-worker', details: describeAbsentWorkers(scheduler, service, now)};
	}

	if (scheduler.screenings.has(service) && needsTrial(step)) {
		return {reason: 'screening', details: {onTrial: hasAssignedTask(step), trialWorkers: scheduler.screenings.get(service)?.trialWorkers.map(({id}) => id).slice(0, 4)}};
	}

	if (step.tickets?.granted.size === 0) {
		const {pendingCall, requestedWorkers, refused, fruitlessRequests} = step.tickets;
		const {calls, slowness} = scheduler.ticketService;
		return {
			reason: 'tickets', details: {
				requestPending: pendingCall !== undefined, requested: requestedWorkers.length, refused: refused.size, fruitlessRequests, calls: calls.length, slowness,
			},
		};
	}

	if (findObtainableWorkers(group, step, workers) === undefined) {
		const {requirement, antiAffinity} = definition;
		return {
			reason: 'unsuitable', details: {
				need: getReservedResources(definition), requirement, antiAffinity, workers: workers.length, eligible: workers.filter(worker => isEligible(group, step, worker)).length,
			},
		};
	}

	if (job.dataWait?.startedAt !== undefined) {
		return {reason: 'data', details: {affinity: definition.affinity, sinceMs: Math.round(now - job.dataWait.startedAt)}};
	}

	const roomy = workers.filter(worker => hasRoom(group, step, worker));
	if (roomy.length === 0) {
		return {reason: 'room', details: {need: getReservedResources(definition), workers: workers.length}};
	}

	if (roomy.every(({id}) => (group.failedWorkers.get(id) ?? 0) > now)) {
		return {reason: 'failed-workers', details: {workers: roomy.map(({id}) => id).slice(0, 4)}};
	}

	const openOrders = countOpenOrders(scheduler);
	if (openOrders >= scheduler.orderWindow.size) {
		return {reason: 'orders', details: {open: openOrders, window: scheduler.orderWindow.size}};
	}

	return {reason: 'order', details: {workersWithRoom: roomy.length}};
}

function hasRoom(group: TaskGroup, step: StepState, worker: Worker): boolean {
	return worker.listing !== undefined
		&& isEligible(group, step, worker)
		&& fitsInto(getReservedResources(group.definition), addResources(worker.listing.capacity, worker.used, -1))
		&& satisfiesAntiAffinity(group, step, {worker, taken: []});
}

function listIds({workers}: Scheduler, test: (worker: Worker) => boolean): string[] {
	return [...workers.values()].filter(worker => test(worker)).map(({id}) => id).slice(0, 4);
}

/** Counts the workers of a service by what keeps them from getting tasks. */
function describeAbsentWorkers({workers, withdrawnZones}: Scheduler, service: string, now: number): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const worker of workers.values()) {
		const {listing} = worker;
		if (listing?.service !== service) {
			continue;
		}

		const reasons = {
			silent: worker.unresponsive || !worker.acknowledgedOwner,
			unrecorded: !worker.recordedAsHolder,
			leaving: listing.leaving || worker.cordoned || withdrawnZones.has(listing.availabilityZone),
			failing: worker.backoffUntil > now,
			strayRuns: worker.hasStrayRuns,
		};
		const reason = Object.entries(reasons).find(([, applies]) => applies)?.[0] ?? 'isolatedOrOnProbation';
		counts[reason] = (counts[reason] ?? 0) + 1;
	}

	return counts;
}
