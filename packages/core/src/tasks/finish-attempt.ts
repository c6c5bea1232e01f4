import {type Effect} from '../node/effect.js';
import {type AttemptOutcome, type EventOf} from '../node/event.js';
import {type Attempt, type Node, type Task} from '../node/node.js';
import {enqueueTask} from '../shares/enqueue-task.js';
import {recordRun} from '../shares/record-run.js';
import {dispatchPool} from './dispatch-pool.js';
import {endAttempt} from './end-attempt.js';
import {refuseTask} from './refuse-task.js';

const maximumAttempts = 3;

function requeue(node: Node, task: Task): boolean {
	return task.attemptsStarted < maximumAttempts && enqueueTask(node, task);
}

type OutcomeHandler<Type extends AttemptOutcome['type']> = (node: Node, task: Task, outcome: Extract<AttemptOutcome, {type: Type}>, attempt: Attempt) => Effect[];

const outcomeHandlers: {[Type in AttemptOutcome['type']]: OutcomeHandler<Type>} = {
	succeeded(_node, task, _outcome, {id: attemptId}) {
		return [{type: 'count', counter: 'request.answered'}, {type: 'answer', taskId: task.id, attemptId}];
	},
	checkpointed(node, task, _outcome, attempt) {
		// The next attempt resumes the same execution, so that it is not a further try.
		task.attemptsStarted -= 1;
		task.resume = {attemptId: attempt.id, workerId: attempt.workerId, notBefore: 0};
		enqueueTask(node, task);
		return [{type: 'count', counter: 'task.checkpointed'}];
	},
	'not-started'(node, task, outcome) {
		if (outcome.cause === 'slots-full') {
			// Nothing has run, and a full pool would otherwise use up the tries of a waiting task.
			task.attemptsStarted -= 1;
		}

		if (outcome.cause === 'checkpoint-unknown') {
			delete task.resume;
			return task.repeatable && requeue(node, task) ? [{type: 'count', counter: 'task.restarted'}] : [refuseTask(task.id, 'worker-lost')];
		}

		if (requeue(node, task)) {
			return [{type: 'count', counter: 'retry.not-started'}];
		}

		// A checkpointed task has run in part, so that "not run" would be untrue.
		return [refuseTask(task.id, 'no-worker-available', task.resume === undefined ? {} : {execution: 'outcome unknown'})];
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

	const {task, attempt} = ended;
	recordRun(node, ended, event);
	const handler = outcomeHandlers[event.outcome.type] as OutcomeHandler<AttemptOutcome['type']>;
	const effects = handler(node, task, event.outcome, attempt);
	if (task.state === 'running') {
		node.tasks.byId.delete(task.id);
	}

	return [...effects, ...dispatchPool(node, task.pool, event.at)];
}
