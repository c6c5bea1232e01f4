/**
 * Counters other than the refusal reasons, with their meaning.
 */
export const counters = {
	'request.accepted': 'Requests admitted to a queue',
	'request.answered': 'Requests answered with a worker\'s answer',
	'attempt.started': 'Attempts sent to a worker',
	'attempt.stale-answer': 'Answers of attempts that had already ended, dropped',
	'retry.not-started': 'Retries after an attempt that did not start',
	'retry.failed': 'Retries after a worker reported a failure',
	'task.checkpointed': 'Bulk tasks checkpointed and queued again',
	'task.checkpoint-urgent': 'Checkpoints asked for because urgent work waited',
	'task.checkpoint-share': 'Checkpoints asked for because a team held more than its share',
	'task.throttled': 'Bulk tasks throttled for urgent work',
	'task.restarted': 'Checkpointed tasks started from the beginning, their progress lost',
	'retry.lost': 'Retries after a connection to a worker was lost',
} as const;

export type Counter = keyof typeof counters;
