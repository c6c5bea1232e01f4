import {abandonedAttemptTimeoutMs, tickIntervalMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node, type Task} from '../node/node.js';
import {isFresh} from '../freshness/is-fresh.js';
import {acquireSlot} from '../limits/acquire-slot.js';
import {chooseWorker} from '../placement/choose-worker.js';
import {type Worker} from '../placement/placement.js';
import {recordAttemptStart} from '../shares/record-attempt-start.js';
import {findResumeWorker} from '../shares/find-resume-worker.js';
import {selectNextTask} from '../shares/select-next-task.js';
import {dequeueTask} from '../shares/dequeue-task.js';
import {willRunPastDeadline} from '../shares/will-run-past-deadline.js';
import {endTask} from './end-task.js';

function startAttempt(node: Node, task: Task, worker: Worker, at: number): Effect[] {
	// Each attempt needs an identifier of its own, also those that count in `uncountedAttempts` and not in `countedAttempts`.
	const attemptId = `${node.id}-${task.id}-${task.countedAttempts + task.uncountedAttempts + 1}`;
	// A tick cancels a repeatable attempt at its deadline, before this time-out. One that may not be repeated goes on past the deadline.
	const timeoutMarginMs = task.repeatable ? 2 * tickIntervalMs : abandonedAttemptTimeoutMs;
	const resumedAttemptId = task.resume?.workerId === worker.instance.id ? task.resume.attemptId : undefined;
	dequeueTask(node, task);
	recordAttemptStart(node, task, at);
	acquireSlot(node, task.team);
	const effects: Effect[] = [{type: 'count', counter: 'attempt.started'}];
	if (task.resume !== undefined && resumedAttemptId === undefined) {
		delete task.resume;
		effects.push({type: 'count', counter: 'task.restarted'});
	}

	worker.running += 1;
	task.state = 'running';
	task.countedAttempts += 1;
	task.attemptId = attemptId;
	node.tasks.attempts.set(attemptId, {
		id: attemptId, taskId: task.id, workerId: worker.instance.id, startedAt: at,
	});
	effects.push({
		type: 'start-attempt',
		taskId: task.id,
		attemptId,
		workerId: worker.instance.id,
		address: worker.instance.address,
		timeoutMs: task.deadlineAt - at + timeoutMarginMs,
		includeAnswer: task.idempotencyKey !== undefined,
		...(resumedAttemptId !== undefined && {resumedAttemptId}),
	});
	return effects;
}

/**
 * Starts as many queued tasks of a pool as its shares, limits and workers allow.
 *
 * @param node - the node, updated in place
 * @param pool - name of the pool
 * @param at - now, in milliseconds
 * @returns one `start-attempt` for each started task
 * @example
 * const effects = dispatchPool(node, 'web', at);
 */
export function dispatchPool(node: Node, pool: string, at: number): Effect[] {
	const effects: Effect[] = [];
	if (!isFresh(node, at)) {
		return effects;
	}

	for (;;) {
		const task = selectNextTask(node, pool, at);
		if (task === undefined) {
			return effects;
		}

		if (task.deadlineAt <= at || willRunPastDeadline(node, task, at)) {
			effects.push(...endTask(node, task, {type: 'refused', reason: 'deadline-exceeded'}, at));
			continue;
		}

		const worker = findResumeWorker(node, task, at) ?? chooseWorker(node, task, at);
		if (worker === undefined) {
			return effects;
		}

		effects.push(...startAttempt(node, task, worker, at));
	}
}
