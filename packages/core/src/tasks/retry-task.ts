import {type Counter} from '../node/counters.js';
import {type Effect} from '../node/effect.js';
import {type Node, type Task} from '../node/node.js';
import {computeBackoff} from '../retries/compute-backoff.js';
import {isParked} from '../retries/is-parked.js';
import {scheduleRetry} from '../retries/schedule-retry.js';
import {takeRetryToken} from '../retries/take-retry-token.js';
import {endTask, type TaskEnding} from './end-task.js';
import {enqueueAndDispatch} from './enqueue-and-dispatch.js';

/**
 * Retries a task after a backoff. Ends it instead when nobody waits for its answer, its job is parked,
 * its deadline would pass first or the retry budget is used up.
 *
 * @param node - the node, updated in place
 * @param task - a task without a running attempt that may run again
 * @param options - `ending`: how the task ends when the deadline is too near or nobody waits for its answer; `counter`:
 * what counts the retry; `budgeted`: whether the retry takes a token from the pool's retry budget
 * @param at - now, in milliseconds
 * @returns the effects
 * @example
 * retryTask(node, task, {ending, counter: 'retry.lost', budgeted: true}, at);
 */
export function retryTask(node: Node, task: Task, options: {ending: TaskEnding; counter: Counter; budgeted: boolean}, at: number): Effect[] {
	const {ending, counter, budgeted} = options;
	// The first retry after a rejection by a healthy worker needs no backoff: the rejection has corrected this node's state of the worker.
	const delayMs = !budgeted && task.attemptsUnstarted <= 1 ? 0 : computeBackoff(node.random, Math.max(1, task.countedAttempts));
	if (task.callerSettled || at + delayMs >= task.deadlineAt) {
		return endTask(node, task, ending, at);
	}

	if (isParked(node, task, at)) {
		return endTask(node, task, {type: 'refused', reason: 'request-parked'}, at);
	}

	if (budgeted && !takeRetryToken(node, task.pool)) {
		return endTask(node, task, {type: 'refused', reason: 'retry-budget-exhausted'}, at);
	}

	if (delayMs === 0) {
		return [{type: 'count', counter}, ...enqueueAndDispatch(node, task, at)];
	}

	scheduleRetry(node, task, at + delayMs);
	return [{type: 'count', counter}];
}
