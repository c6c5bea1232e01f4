import {maximumAttempts, maximumUnstartedAttempts} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type AttemptOutcome, type EventOf} from '../node/event.js';
import {type Node, type Task} from '../node/node.js';
import {recordOutcome} from '../placement/record-outcome.js';
import {recordRejection} from '../placement/record-rejection.js';
import {recordRun} from '../shares/record-run.js';
import {addRetryTokens} from '../retries/add-retry-tokens.js';
import {clearFailures} from '../retries/clear-failures.js';
import {recordFailure} from '../retries/record-failure.js';
import {dispatchPool} from './dispatch-pool.js';
import {endAttempt} from './end-attempt.js';
import {endTask, type TaskEnding} from './end-task.js';
import {enqueueAndDispatch} from './enqueue-and-dispatch.js';
import {retryTask} from './retry-task.js';

type EndedAttempt = {readonly task: Task; readonly workerId: string; readonly attemptId: string; readonly at: number};

type OutcomeHandler<Type extends AttemptOutcome['type']> = (node: Node, ended: EndedAttempt, outcome: Extract<AttemptOutcome, {type: Type}>) => Effect[];

/** Causes whose retries take no token from the retry budget: a healthy worker rejected the attempt. Such rejections are rare, as they correct this node's state of the worker. */
const unbudgetedCauses = new Set<string>(['slots-full', 'leaving', 'lease-lapsed']);

function handleFailure(node: Node, ended: EndedAttempt, options: {ending: TaskEnding; counter: 'retry.failed' | 'retry.lost'}): Effect[] {
	const {task, workerId, at} = ended;
	const {ending, counter} = options;
	task.mayHaveRun = true;
	task.failedWorkers.push(workerId);
	const counts: Effect[] = recordFailure(node, task, workerId, at) ? [{type: 'count', counter: 'job.parked', subject: `${task.queue}/${task.fingerprint ?? ''}`}] : [];
	if (at >= task.deadlineAt) {
		return [...counts, ...endTask(node, task, {type: 'refused', reason: 'deadline-exceeded-running'}, at)];
	}

	const repeat = task.repeatable && task.countedAttempts - task.attemptsUnstarted < maximumAttempts;
	return [...counts, ...(repeat ? retryTask(node, task, {ending, counter, budgeted: true}, at) : endTask(node, task, ending, at))];
}

const outcomeHandlers: {[Type in AttemptOutcome['type']]: OutcomeHandler<Type>} = {
	succeeded(node, {task, attemptId, at}, {answer}) {
		addRetryTokens(node, task.pool);
		clearFailures(node, task);
		return endTask(node, task, {type: 'answered', attemptId, ...(answer !== undefined && {answer})}, at);
	},
	checkpointed(node, {task, workerId, attemptId, at}) {
		// The next attempt resumes the same execution, so that it does not count as a further attempt.
		task.countedAttempts -= 1;
		task.uncountedAttempts += 1;
		task.mayHaveRun = true;
		task.resume = {attemptId, workerId, notBefore: 0};
		const effects = task.callerSettled ? endTask(node, task, {type: 'caller-gone'}, at) : enqueueAndDispatch(node, task, at);
		return [{type: 'count', counter: 'task.checkpointed'}, ...effects];
	},
	'not-started'(node, ended, {cause}) {
		const {task, workerId, at} = ended;
		if (task.resume !== undefined && cause === 'slots-full') {
			// Only this worker has the progress, so that waiting for one of its slots does not count as a further attempt.
			task.countedAttempts -= 1;
			task.uncountedAttempts += 1;
			return [{type: 'count', counter: 'retry.not-started'}, ...enqueueAndDispatch(node, task, at)];
		}

		if (cause === 'checkpoint-unknown') {
			const ending: TaskEnding = {type: 'refused', reason: 'worker-lost'};
			delete task.resume;
			return task.repeatable ? retryTask(node, task, {ending, counter: 'task.restarted', budgeted: true}, at) : endTask(node, task, ending, at);
		}

		if (cause === 'duplicate') {
			// The worker has seen this attempt before: an earlier copy of the request may be running.
			return handleFailure(node, ended, {ending: {type: 'refused', reason: 'worker-lost'}, counter: 'retry.lost'});
		}

		task.attemptsUnstarted += 1;
		const counts = recordRejection(node, workerId, cause, at);
		if (cause === 'slots-full') {
			// The full worker is skipped for a while. When all workers are, the task waits in its queue and its turn is set by the fair shares.
			return [...counts, {type: 'count', counter: 'retry.not-started'}, ...enqueueAndDispatch(node, task, at)];
		}

		const ending: TaskEnding = {type: 'refused', reason: 'no-worker-available'};
		return [...counts, ...(task.attemptsUnstarted >= maximumUnstartedAttempts
			? endTask(node, task, ending, at)
			: retryTask(node, task, {ending, counter: 'retry.not-started', budgeted: !unbudgetedCauses.has(cause)}, at))];
	},
	failed: (node, ended, {status}) => handleFailure(node, ended, {
		ending: {type: 'refused', reason: 'worker-failed', detail: `The worker answered with status ${status}`}, counter: 'retry.failed',
	}),
	lost(node, ended, {cause}) {
		const counts: Effect[] = cause === 'answer-mismatched' ? [{type: 'count', counter: 'attempt.mismatched-answer'}] : [];
		return [...counts, ...handleFailure(node, ended, {ending: {type: 'refused', reason: 'worker-lost'}, counter: 'retry.lost'})];
	},
};

/**
 * Ends an attempt: answers the caller, schedules a retry or refuses the request.
 *
 * @param node - the node, updated in place
 * @param event - how the attempt ended; an attempt that has already ended is counted and ignored
 * @returns the effects
 * @example
 * finishAttempt(node, {type: 'attempt-finished', at: 5, attemptId: 'a-1', outcome: {type: 'succeeded'}});
 */
export function finishAttempt(node: Node, event: EventOf<'attempt-finished'>): Effect[] {
	const {attemptId, outcome, at} = event;
	const ended = endAttempt(node, attemptId);
	if (ended === undefined) {
		return [{type: 'count', counter: 'attempt.stale-answer'}];
	}

	const {task, attempt: {workerId}} = ended;
	recordRun(node, ended, event);
	const counts = recordOutcome(node, workerId, outcome, at);
	const handler = outcomeHandlers[outcome.type] as OutcomeHandler<AttemptOutcome['type']>;
	const effects = handler(node, {
		task, workerId, attemptId, at,
	}, outcome);
	return [...counts, ...effects, ...dispatchPool(node, task.pool, at)];
}
