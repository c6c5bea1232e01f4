import {type Effect} from '../node/effect.js';
import {type AttemptOutcome, type EventOf} from '../node/event.js';
import {type Node, type Task} from '../node/node.js';
import {enqueueTask} from '../shares/enqueue-task.js';
import {dispatchPool} from './dispatch-pool.js';
import {endAttempt} from './end-attempt.js';
import {refuseTask} from './refuse-task.js';

const maximumAttempts = 3;

function requeue(node: Node, task: Task): boolean {
	return task.attemptsStarted < maximumAttempts && enqueueTask(node, task);
}

type OutcomeHandler<Type extends AttemptOutcome['type']> = (node: Node, task: Task, outcome: Extract<AttemptOutcome, {type: Type}>, attemptId: string) => Effect[];

const outcomeHandlers: {[Type in AttemptOutcome['type']]: OutcomeHandler<Type>} = {
	succeeded(_node, task, _outcome, attemptId) {
		return [{type: 'count', counter: 'request.answered'}, {type: 'answer', taskId: task.id, attemptId}];
	},
	'not-started'(node, task) {
		return requeue(node, task) ? [{type: 'count', counter: 'retry.not-started'}] : [refuseTask(task.id, 'no-worker-available')];
	},
	failed(node, task, outcome) {
		if (task.repeatable && requeue(node, task)) {
			return [{type: 'count', counter: 'retry.failed'}];
		}

		return [refuseTask(task.id, 'worker-failed', {detail: `The worker answered with status ${outcome.status}`})];
	},
	lost(node, task) {
		if (task.repeatable && requeue(node, task)) {
			return [{type: 'count', counter: 'retry.lost'}];
		}

		return [refuseTask(task.id, 'worker-lost')];
	},
};

/**
 * Ends an attempt: answers the caller, queues the task again or refuses it.
 *
 * @param node - the node, updated in place
 * @param event - how the attempt ended; an attempt that has already ended is counted and ignored
 * @returns the effects
 * @example
 * finishAttempt(node, {type: 'attempt-finished', at: 5, attemptId: 'a-1', outcome: {type: 'succeeded'}});
 */
export function finishAttempt(node: Node, event: EventOf<'attempt-finished'>): Effect[] {
	const ended = endAttempt(node, event.attemptId);
	if (ended === undefined) {
		return [{type: 'count', counter: 'attempt.stale-answer'}];
	}

	const {task} = ended;
	const handler = outcomeHandlers[event.outcome.type] as OutcomeHandler<AttemptOutcome['type']>;
	const effects = handler(node, task, event.outcome, event.attemptId);
	if (task.state === 'running') {
		node.tasks.byId.delete(task.id);
	}

	return [...effects, ...dispatchPool(node, task.pool, event.at)];
}
