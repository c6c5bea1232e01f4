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
	'portion.call': 'Store calls for portions of upper limits',
	'portion.call-failed': 'Store calls for portions that failed or had an unknown outcome',
	'portion.conflict': 'Store calls for portions that another holder\'s write preceded, or whose absent holder was present',
	'portion.stale-answer': 'Answers to earlier store calls for portions, dropped',
	'portion.resolved-written': 'Writes with a lost answer that were found in the record',
	'portion.resolved-not-written': 'Writes with a lost answer that were not found in the record',
	'portion.reclaimed': 'Vanished holders whose portions were taken back',
	'portion.invalid-record': 'Limit records that could not be read; the team starts nothing until they are corrected',
} as const;

export type Counter = keyof typeof counters;
