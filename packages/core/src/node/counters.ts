/**
 * Counters other than the refusal reasons, with their meaning.
 */
export const counters = {
	'request.accepted': 'Requests admitted to a queue',
	'request.answered': 'Requests answered with a worker\'s answer',
	'attempt.started': 'Attempts sent to a worker',
	'attempt.stale-answer': 'Answers of attempts that had already ended, dropped',
	'attempt.mismatched-answer': 'Answers with the identifier of another attempt, dropped',
	'request.replayed': 'Requests answered with the answer of an earlier request with the same idempotency key',
	'claim.written': 'Store transactions that record idempotency claims',
	'claim.conflict': 'Claim transactions that lost a race and were repeated',
	'claim.outcome-unknown': 'Claim transactions whose answer was lost',
	'claim.unavailable': 'Claim transactions that the store did not take',
	'worker.ejected': 'Workers ejected because of their failure rate',
	'worker.returned': 'Ejected workers that passed their probes',
	'worker.leaving': 'Workers that refused work because they are leaving',
	'job.parked': 'Jobs parked after failing on several workers',
	'retry.not-started': 'Retries after an attempt that did not start',
	'retry.failed': 'Retries after a worker reported a failure',
	'retry.lost': 'Retries after a connection to a worker was lost',
} as const;

export type Counter = keyof typeof counters;
