import {estimateDuration} from '../estimates/estimate-duration.js';
import {isWithinLimit} from '../order/is-within-limit.js';
import {chooseWorkers} from '../placement/choose-workers.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {mayUseService} from '../placement/may-use-service.js';
import {listSchedulableWorkers} from '../placement/list-schedulable-workers.js';
import {assignTask} from '../runs/assign-task.js';
import {chooseRunNumber} from '../runs/choose-run-number.js';
import {countOpenOrders} from '../runs/count-open-orders.js';
import {sendStart} from '../runs/send-start.js';
import {createTask} from '../state/create-task.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {
	type Scheduler, type Task, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {type Candidate, chooseStragglers} from './choose-stragglers.js';
import {estimateFreshRunTime} from './estimate-fresh-run-time.js';
import {estimateRemainingTime} from './estimate-remaining-time.js';
import {hasAttemptForDuplicate} from './has-attempt-for-duplicate.js';
import {isSilent} from './is-silent.js';
import {isStraggler} from './is-straggler.js';
import {listPeerTimes, type PeerTime} from './list-peer-times.js';
import {listWaitingServices} from './list-waiting-services.js';
import {mayHaveDuplicate} from './may-have-duplicate.js';
import {measureDuplicateBudget} from './measure-duplicate-budget.js';

/** Pause before a task whose duplicate has ended may get another one, in milliseconds, so that a worker that refuses it is not asked at each tick. */
const repeatedDuplicateMs = 1000;

type StragglerCandidate = Candidate & {readonly task: Task};

/**
 * Starts duplicate runs of stragglers, with capacity that no waiting task of their service can use. Called after the
 * waiting tasks are placed.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @example
 * startDuplicates(context);
 */
export function startDuplicates(context: ReducerContext): void {
	const {scheduler, now} = context;
	const candidates = listCandidates(scheduler, now);
	if (candidates.size === 0) {
		return;
	}

	const waiting = listWaitingServices(scheduler);
	const schedulable = listSchedulableWorkers(scheduler, now);
	const slowWorkers = listSlowWorkers(candidates);
	let orders = scheduler.orderWindow.size - countOpenOrders(scheduler);
	for (const [service, runs] of candidates) {
		const budgetMillis = waiting.has(service) ? 0 : measureDuplicateBudget(scheduler, service);
		for (const straggler of chooseStragglers(runs, {budgetMillis})) {
			if (orders <= 0) {
				return;
			}

			orders -= startDuplicate(context, straggler, (schedulable.get(service) ?? []).filter(worker => !slowWorkers.has(worker))) ? 1 : 0;
		}
	}
}

/** Lists the workers of stragglers, which may be slow themselves. */
function listSlowWorkers(candidates: ReadonlyMap<string, readonly StragglerCandidate[]>): Set<Worker> {
	const workers = new Set<Worker>();
	for (const {task} of chooseStragglers([...candidates.values()].flat(), {budgetMillis: Number.POSITIVE_INFINITY})) {
		if (task.worker !== undefined) {
			workers.add(task.worker);
		}
	}

	return workers;
}

/** Lists the runs that may get a duplicate, by service. */
function listCandidates(scheduler: Scheduler, now: number): Map<string, StragglerCandidate[]> {
	const candidates = new Map<string, StragglerCandidate[]>();
	const peerTimes = new Map<readonly TaskGroup[], PeerTime[]>();
	const isReconciled = [...scheduler.workers.values()].every(({unreconciledUntil}) => unreconciledUntil <= now);
	for (const {tasks} of scheduler.workers.values()) {
		for (const task of tasks) {
			// A former owner may have started a duplicate on a worker that has not answered yet.
			if (!mayHaveDuplicate(task.group) || !isEligible(scheduler, task, now) || (task.group.job.recovered && !isReconciled)) {
				continue;
			}

			const candidate = describeCandidate(scheduler, task, {now, peerTimes});
			if (candidate !== undefined) {
				const {service} = findQueuePolicy(scheduler, task.group.job);
				const known = candidates.get(service) ?? [];
				known.push(candidate);
				candidates.set(service, known);
			}
		}
	}

	return candidates;
}

/** A task that may have crashed a worker gets no duplicate, because it could crash another one. */
function isEligible(scheduler: Scheduler, task: Task, now: number): boolean {
	const {group, state, duplicate} = task;
	const {job, done, suspected, crashedRuns, duplicatedAt} = group;
	const policy = findQueuePolicy(scheduler, job);
	return state === 'running'
		&& duplicate === undefined
		&& scheduler.tasks.get(task.id) === task
		&& !done && !suspected && crashedRuns.size === 0
		&& !job.cancelled && job.end === undefined
		&& now - duplicatedAt >= repeatedDuplicateMs
		&& policy.ticketRule === undefined
		&& mayUseService(job, policy.service)
		&& hasAttemptForDuplicate(scheduler, group);
}

/** Describes a run that would be a straggler if the estimate of its step were right; `undefined` for others. Each step is measured once. */
function describeCandidate(scheduler: Scheduler, task: Task, options: {now: number; peerTimes: Map<readonly TaskGroup[], PeerTime[]>}): StragglerCandidate | undefined {
	const {now, peerTimes} = options;
	const {id, group, lastOrderAt, worker} = task;
	const {job, occurrence, step, definition} = group;
	const estimatedMs = estimateDuration(scheduler, job, step);
	const shortestMs = estimateRemainingTime(task, {freshMs: estimatedMs, now});
	if (shortestMs === undefined || worker === undefined) {
		return undefined;
	}

	const observedMs = (isSilent(worker, now) ? now : worker.reportAnsweredAt) - lastOrderAt;
	if (!isStraggler({observedMs, remainingMs: shortestMs, freshMs: estimatedMs})) {
		return undefined;
	}

	const groups = job.occurrences.get(occurrence)?.[step]?.groups ?? [];
	const times = peerTimes.get(groups) ?? listPeerTimes(groups);
	peerTimes.set(groups, times);
	const freshMs = estimateFreshRunTime(group, {peerTimes: times, estimatedMs});
	const remainingMs = estimateRemainingTime(task, {freshMs, now});
	return remainingMs === undefined
		? undefined
		: {
			task, id, observedMs, remainingMs, freshMs, cpuMillis: getReservedResources(definition).cpuMillis,
		};
}

/** Starts a duplicate on another worker. Returns false if none has room. */
function startDuplicate(context: ReducerContext, straggler: StragglerCandidate, workers: readonly Worker[]): boolean {
	const {scheduler, now} = context;
	const {task, remainingMs, freshMs} = straggler;
	const {group} = task;
	const step = group.job.occurrences.get(group.occurrence)?.[group.step];
	if (step === undefined || !isWithinLimit(scheduler, group.job, getReservedResources(group.definition))) {
		return false;
	}

	const [worker] = chooseWorkers(group, step, {candidates: workers.filter(candidate => isSuitable(candidate, task)), now, estimates: scheduler.estimates}) ?? [];
	if (worker === undefined) {
		return false;
	}

	const duplicate = createTask(group, task);
	task.duplicate = duplicate;
	group.duplicatedAt = now;
	assignTask(scheduler, duplicate, {worker, run: chooseRunNumber(scheduler, group), state: 'starting'});
	context.effects.push({
		type: 'log', level: 'info', event: 'duplicate-started', fields: {
			task: task.id, run: duplicate.run, worker: worker.id, originalRun: task.run, originalWorker: task.worker?.id, percent: task.percent, remainingMs: Math.round(remainingMs), freshMs: Math.round(freshMs),
		},
	});
	sendStart(context, duplicate);
	return true;
}

/** A worker runs one run of a task at a time. Far from its data, a duplicate of a run beside the data would take longer than estimated. */
function isSuitable(worker: Worker, {worker: original, group}: Task): boolean {
	const {affinity} = group.definition;
	const isFarther = affinity !== '' && worker.listing?.rack !== affinity && original?.listing?.rack === affinity;
	const hasDuplicatedRun = [...worker.tasks].some(({duplicate}) => duplicate !== undefined);
	return worker !== original && !group.failedWorkers.has(worker.id) && !isFarther && !hasDuplicatedRun;
}
