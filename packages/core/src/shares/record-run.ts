import {resumeBackoffMs} from '../constants.js';
import {type EventOf} from '../node/event.js';
import {type Attempt, type Node, type Task} from '../node/node.js';
import {observeRunTime} from './observe-run-time.js';

/**
 * Records the run time of an ended attempt, and updates the mean run time of the queue when its task has
 * finished. A checkpointed task whose worker was full backs off, so that it does not block the tasks
 * behind it that can start on other workers.
 *
 * @param node - the node, updated in place
 * @param ended - the attempt and its task
 * @param event - how the attempt ended
 * @example
 * recordRun(node, {attempt, task}, event);
 */
export function recordRun(node: Node, ended: {attempt: Attempt; task: Task}, event: EventOf<'attempt-finished'>): void {
	const {attempt, task} = ended;
	if (event.outcome.type === 'checkpointed') {
		task.ranMs += event.at - attempt.startedAt;
	} else if (event.outcome.type === 'succeeded') {
		observeRunTime(node, task, task.ranMs + (event.at - attempt.startedAt));
	} else if (event.outcome.type === 'not-started' && task.resume?.workerId === attempt.workerId) {
		task.resume = {...task.resume, notBefore: event.at + resumeBackoffMs};
	} else if (event.outcome.type === 'failed' || event.outcome.type === 'lost') {
		// The worker handed the saved progress to this attempt, so that a further attempt starts from the beginning.
		delete task.resume;
	}
}
