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
	'retry.lost': 'Retries after a connection to a worker was lost',
	'fleet.planner-started': 'Times that this process acquired the planner lease',
	'fleet.planner-stopped': 'Times that this process lost the planner lease',
	'fleet.instance-suspect': 'Instances set aside after failed reboots',
	'fleet.drain-undone': 'Drains undone because the budget was needed',
	'fleet.record-invalid': 'Invalid fleet records read from the store',
} as const;

export type Counter = keyof typeof counters;
