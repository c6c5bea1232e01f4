import {type RecordedAnswer} from '../deduplication/deduplication.js';
import {type ClaimOutcome, endClaim} from '../deduplication/end-claim.js';
import {type Effect} from '../node/effect.js';
import {type Node, type Task} from '../node/node.js';
import {type Reason} from '../refusal.js';
import {dequeueTask} from '../shares/dequeue-task.js';
import {createRefusal} from './create-refusal.js';

/** How a task ends for its caller. */
export type TaskEnding =
	| {readonly type: 'answered'; readonly attemptId: string; readonly answer?: RecordedAnswer}
	| {readonly type: 'replayed'; readonly answer: RecordedAnswer}
	| {readonly type: 'refused'; readonly reason: Reason; readonly detail?: string}
	| {readonly type: 'caller-gone'};

type EndingHandler<Type extends TaskEnding['type']> = (task: Task, ending: Extract<TaskEnding, {type: Type}>) => Effect[];

const endingHandlers: {readonly [Type in TaskEnding['type']]: EndingHandler<Type>} = {
	answered: (task, {attemptId}) => [{type: 'count', counter: 'request.answered'}, {type: 'answer', taskId: task.id, attemptId}],
	replayed: (task, {answer}) => [{type: 'count', counter: 'request.replayed'}, {type: 'answer-recorded', taskId: task.id, answer}],
	// The default for `retry-budget-exhausted` is "outcome unknown"; it is "not run" when no attempt may have run.
	refused: (task, {reason, detail}) => [createRefusal(task.id, reason, {
		...((task.mayHaveRun || reason === 'retry-budget-exhausted') && {execution: task.mayHaveRun ? 'outcome unknown' : 'not run'}),
		...(detail !== undefined && {detail}),
	})],
	'caller-gone': () => [],
};

function createClaimEnding(task: Task, ending: TaskEnding): ClaimOutcome {
	if (ending.type === 'answered') {
		return {type: 'answered', ...(ending.answer !== undefined && {answer: ending.answer})};
	}

	return {type: task.mayHaveRun ? 'unknown' : 'not-run'};
}

/**
 * Ends a task: removes it from its queue, ends its claim and answers its caller. A refusal after an
 * attempt that may have run states the execution as "outcome unknown".
 *
 * @param node - the node, updated in place
 * @param task - a task without a running attempt
 * @param ending - how it ends
 * @param at - now, in milliseconds
 * @returns the effects for the caller; none when the caller has been refused or has disconnected before
 * @example
 * const effects = endTask(node, task, {type: 'refused', reason: 'worker-lost'}, at);
 */
export function endTask(node: Node, task: Task, ending: TaskEnding, at: number): Effect[] {
	if (task.state === 'queued') {
		dequeueTask(node, task);
	}

	node.tasks.byId.delete(task.id);
	if (task.idempotencyKey !== undefined) {
		endClaim(node, task, createClaimEnding(task, ending), at);
	}

	return task.callerSettled ? [] : (endingHandlers[ending.type] as EndingHandler<TaskEnding['type']>)(task, ending);
}
