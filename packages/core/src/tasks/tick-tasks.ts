import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node, type Task} from '../node/node.js';
import {isPortionReturnOver} from '../limits/is-portion-return-over.js';
import {dispatchPool} from './dispatch-pool.js';
import {endAttempt} from './end-attempt.js';
import {endTask} from './end-task.js';
import {createRefusal} from './create-refusal.js';

/** Refuses a running task at its deadline. Its attempt is cancelled if it may be repeated; otherwise it keeps its slot until it ends. */
function expireRunning(node: Node, task: Task, at: number): Effect[] {
	task.mayHaveRun = true;
	if (!task.repeatable) {
		task.callerSettled = true;
		return [createRefusal(task.id, 'deadline-exceeded-running')];
	}

	const ended = endAttempt(node, task.attemptId ?? '');
	const cancels: Effect[] = ended === undefined ? [] : [{type: 'cancel-attempt', attemptId: ended.attempt.id, workerId: ended.attempt.workerId}];
	return [...cancels, ...endTask(node, task, {type: 'refused', reason: 'deadline-exceeded-running'}, at)];
}

function expireTasks(node: Node, at: number): Effect[] {
	const effects: Effect[] = [];
	for (const task of node.tasks.byId.values()) {
		if (task.deadlineAt <= at && !task.callerSettled) {
			effects.push(...(task.state === 'running' ? expireRunning(node, task, at) : endTask(node, task, {type: 'refused', reason: 'deadline-exceeded'}, at)));
		}
	}

	return effects;
}

/**
 * Tells whether a shutdown need not wait for idempotency claims any longer: the endings of all claims are written, or
 * the store is unavailable (a failed call waits for its retry). A claim without a written ending reads as "outcome unknown".
 */
function hasSettledClaims(node: Node, at: number): boolean {
	const {pending, batch, retryAt} = node.deduplication;
	return retryAt > at || (pending.size === 0 && batch === undefined);
}

/**
 * Ends tasks at their deadline, starts the tasks that can start, and reports the end of a shutdown.
 *
 * @param node - the node, updated in place
 * @param event - the tick
 * @returns the effects
 * @example
 * tickTasks(node, {type: 'tick', at: 100});
 */
export function tickTasks(node: Node, event: EventOf<'tick'>): Effect[] {
	const effects = expireTasks(node, event.at);
	for (const pool of node.shares.pools.keys()) {
		effects.push(...dispatchPool(node, pool, event.at));
	}

	const isIdle = node.tasks.byId.size === 0 && hasSettledClaims(node, event.at) && isPortionReturnOver(node, event.at);
	if (node.tasks.shuttingDown && !node.tasks.shutdownReported && isIdle) {
		node.tasks.shutdownReported = true;
		effects.push({type: 'shutdown-finished'});
	}

	return effects;
}
