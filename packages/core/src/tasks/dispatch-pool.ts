import {abandonedAttemptMs, tickIntervalMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node, type Task} from '../node/node.js';
import {isFresh} from '../freshness/is-fresh.js';
import {acquireSlot} from '../limits/acquire-slot.js';
import {chooseWorker} from '../placement/choose-worker.js';
import {type Worker} from '../placement/placement.js';
import {nextTask} from '../shares/next-task.js';
import {removeTask} from '../shares/remove-task.js';
import {endTask} from './end-task.js';

function startAttempt(node: Node, task: Task, worker: Worker, at: number): Effect[] {
	const attemptId = `${node.id}-${task.id}-${task.attemptsStarted + 1}`;
	const graceMs = task.repeatable ? 2 * tickIntervalMs : abandonedAttemptMs;
	removeTask(node, task);
	acquireSlot(node, task.team);
	worker.running += 1;
	task.state = 'running';
	task.attemptsStarted += 1;
	task.attemptId = attemptId;
	node.tasks.attempts.set(attemptId, {
		id: attemptId, taskId: task.id, workerId: worker.instance.id, startedAt: at,
	});
	return [
		{type: 'count', counter: 'attempt.started'},
		{
			type: 'start-attempt',
			taskId: task.id,
			attemptId,
			workerId: worker.instance.id,
			address: worker.instance.address,
			timeoutMs: task.deadlineAt - at + graceMs,
			keepAnswer: task.idempotencyKey !== undefined,
		},
	];
}

/**
 * Starts as many waiting tasks of a pool as shares, limits and workers allow.
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
		const task = nextTask(node, pool);
		if (task === undefined) {
			return effects;
		}

		if (task.deadlineAt <= at) {
			effects.push(...endTask(node, task, {type: 'refused', reason: 'deadline-exceeded'}, at));
			continue;
		}

		const worker = chooseWorker(node, task, at);
		if (worker === undefined) {
			return effects;
		}

		effects.push(...startAttempt(node, task, worker, at));
	}
}
