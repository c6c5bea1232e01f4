import {
	initialBackoffMs, failureThreshold, maximumStartOrders, orderRetryMs,
} from '../state/constants.js';
import {beginMeasurement} from '../estimates/begin-measurement.js';
import {findRun} from '../copies/find-run.js';
import {type OrderAnswer, type OrderOutcome} from '../state/event.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {adjustOrderWindow} from './adjust-order-window.js';
import {avoidWorker} from './avoid-worker.js';
import {endCalledIncarnation} from './end-called-incarnation.js';
import {recordWorkerClock} from './record-worker-clock.js';
import {releaseTask} from './release-task.js';
import {sendStart} from './send-start.js';
import {stopTask} from './stop-task.js';

const handlers: Record<Exclude<OrderOutcome, 'fenced'>, (context: ReducerContext, task: Task, worker: Worker) => void> = {
	accepted(context, task) {
		task.state = 'running';
		beginMeasurement(task, context.now);
		task.expectedInReportsFrom = context.now;
		task.progressedAt = context.now;
		task.group.job.started = true;
	},
	superseded(context, task) {
		if (task.startOrders === 1) {
			releaseTask(context, task);
			return;
		}

		// An earlier order whose answer was lost has been carried out and the run has ended; a report will show the outcome.
		task.state = 'stopping';
		task.lastOrderAt = context.now;
		task.expectedInReportsFrom = context.now;
	},
	late: handleRefusal,
	full(context, task, worker) {
		// A full worker has not failed, so the back-off is shorter.
		avoidWorker(worker, Math.max(worker.backoffUntil - context.now, initialBackoffMs / 4), context.now);
		handleRefusal(context, task);
	},
	ticket(context, task, worker) {
		const stepState = task.group.job.occurrences.get(task.group.occurrence)?.[task.group.step];
		stepState?.tickets?.granted.delete(worker.id);
		handleRefusal(context, task);
	},
	unhealthy(context, task, worker) {
		worker.consecutiveFailures = Math.max(worker.consecutiveFailures + 1, failureThreshold);
		avoidWorker(worker, initialBackoffMs, context.now);
		handleRefusal(context, task);
	},
	'other-worker'(context, task, worker) {
		if (!endCalledIncarnation(context, worker, task.lastOrderAt)) {
			handleRefusal(context, task);
		}
	},
	invalid(context, task, worker) {
		avoidWorker(worker, initialBackoffMs, context.now);
		handleRefusal(context, task);
	},
	withheld: handleUnsent,
	unreachable: handleUnsent,
	unanswered(context, task, worker) {
		if (task.group.job.cancelled) {
			stopTask(context, task);
			return;
		}

		// The expiry of a lease on the clock of an earlier incarnation may lie far ahead on that of the present one.
		if (task.startOrders < maximumStartOrders && worker.acknowledgedOwner) {
			sendStart(context, task);
			return;
		}

		// It may run. A report that is requested from now on either shows it, or is followed by a stop, which keeps a late order from starting it.
		task.expectedInReportsFrom = context.now;
	},
};

/** Handles an order that this process did not send. The task waits a little, so that a failing connection does not keep the scheduler busy. */
function handleUnsent(context: ReducerContext, task: Task): void {
	task.group.earliestStartAt = context.now + orderRetryMs;
	handleRefusal(context, task);
}

/** Handles an order that was not carried out. An earlier unanswered one may still be, so a repeated start is followed by a stop, after which the worker refuses the run. */
function handleRefusal(context: ReducerContext, task: Task): void {
	if (task.startOrders > 1) {
		stopTask(context, task);
		return;
	}

	releaseTask(context, task);
}

/**
 * Processes the answer to an order to start a task.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param order - the task, its run and the answer
 * @example
 * handleStartAnswer(context, worker, {task, run: 1, answer: {outcome: 'accepted'}});
 */
export function handleStartAnswer(context: ReducerContext, worker: Worker, order: {task: string; run: number; answer: OrderAnswer}): void {
	const {task: id, run, answer} = order;
	const {outcome} = answer;
	const task = findRun(context.scheduler, order);
	recordClock(context, worker, order);
	adjustOrderWindow(context.scheduler.orderWindow, {outcome, latencyMs: context.now - (task?.lastOrderAt ?? context.now)}, context.now);
	if (outcome === 'unanswered' || outcome === 'unreachable') {
		// A later answer to another call shows that only this one was lost.
		worker.unresponsive ||= task !== undefined && worker.lastResponseAt < task.lastOrderAt;
	} else if (outcome !== 'withheld' && outcome !== 'other-worker') {
		worker.unresponsive = false;
		worker.lastResponseAt = context.now;
		worker.lastSeenAt = context.now;
	}

	if (outcome === 'fenced') {
		context.effects.push({type: 'step-down', reason: 'A worker has seen a later owner'});
		return;
	}

	if (task?.worker !== worker || task.run !== run) {
		return;
	}

	if (outcome !== 'unanswered') {
		task.openStartOrders--;
	}

	if (outcome !== 'accepted') {
		context.effects.push({
			type: 'log', level: 'warn', event: 'start-refused', fields: {
				task: id, run, worker: worker.id, outcome, attempt: task.startOrders,
			},
		});
	}

	if (task.state === 'starting') {
		handlers[outcome](context, task, worker);
	}
}

/** Records the worker's clock. The time of the order is known only if no other order about the task has been sent since. */
function recordClock(context: ReducerContext, worker: Worker, order: {task: string; run: number; answer: OrderAnswer}): void {
	const {outcome, clockMs, startedAtMs} = order.answer;
	if (outcome === 'other-worker' || clockMs === undefined) {
		return;
	}

	const task = findRun(context.scheduler, order);
	const isLastOrder = task?.worker === worker && task.run === order.run && task.state === 'starting';
	recordWorkerClock(context, worker, {clockMs, sentAt: isLastOrder ? task.lastOrderAt : undefined, startedAtMs});
}
