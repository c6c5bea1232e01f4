/**
 * Refusals of requests. A refusal is a value, not an exception; each reason has a counter named after it.
 */

/** Whether a refused request may have run. */
export type Execution = 'not run' | 'outcome unknown';

/**
 * HTTP status, title and execution of each refusal reason. `retryAfterSeconds` is set where a repeated
 * request can succeed without a change by the caller.
 */
export const refusals = {
	'key-missing': {status: 401, title: 'The queue requires a key', execution: 'not run'},
	'key-unknown': {status: 401, title: 'The key is unknown or revoked', execution: 'not run'},
	'queue-unknown': {status: 404, title: 'The queue does not exist', execution: 'not run'},
	'body-too-large': {status: 413, title: 'The request body exceeds the limit of the queue', execution: 'not run'},
	'body-incomplete': {status: 400, title: 'The request body ended early', execution: 'not run'},
	'header-invalid': {status: 400, title: 'A request header is invalid', execution: 'not run'},
	'idempotency-key-reused': {status: 422, title: 'The idempotency key was used with another request', execution: 'not run'},
	'request-in-progress': {
		status: 409, title: 'A request with this idempotency key is in progress', execution: 'not run', retryAfterSeconds: 1,
	},
	'claim-unavailable': {
		status: 503, title: 'The idempotency claim cannot be recorded', execution: 'not run', retryAfterSeconds: 5,
	},
	'claim-outcome-unknown': {status: 502, title: 'An earlier request with this idempotency key has an unknown outcome', execution: 'outcome unknown'},
	'upper-limit-reached': {
		status: 429, title: 'The team has as much running as its upper limit allows', execution: 'not run', retryAfterSeconds: 1,
	},
	'queue-full': {
		status: 429, title: 'Too many requests of the team are waiting', execution: 'not run', retryAfterSeconds: 1,
	},
	'deadline-exceeded': {
		status: 504, title: 'The deadline passed before the request started', execution: 'not run', retryAfterSeconds: 1,
	},
	'configuration-stale': {
		status: 503, title: 'This instance cannot confirm its configuration', execution: 'not run', retryAfterSeconds: 1,
	},
	'no-worker-available': {
		status: 503, title: 'No worker of the pool can take the request', execution: 'not run', retryAfterSeconds: 1,
	},
	'shutting-down': {
		status: 503, title: 'This instance is shutting down', execution: 'not run', retryAfterSeconds: 1,
	},
	'request-parked': {status: 422, title: 'Requests of this kind have failed on every worker and are set aside', execution: 'not run'},
	'retry-budget-exhausted': {
		status: 503, title: 'The request failed and the retry budget is used up', execution: 'outcome unknown', retryAfterSeconds: 1,
	},
	'worker-failed': {status: 502, title: 'The worker reported a failure', execution: 'outcome unknown'},
	'worker-lost': {status: 502, title: 'The connection to the worker was lost', execution: 'outcome unknown'},
	'answer-invalid': {status: 502, title: 'The worker returned an incomplete answer', execution: 'outcome unknown'},
	'deadline-exceeded-running': {status: 504, title: 'The deadline passed while the request was running', execution: 'outcome unknown'},
	'caller-gone': {status: 499, title: 'The caller closed the connection', execution: 'outcome unknown'},
} as const satisfies Record<string, {status: number; title: string; execution: Execution; retryAfterSeconds?: number}>;

/** Refusal code, stable across versions. */
export type Reason = keyof typeof refusals;

/** Why a request was refused, and whether it may have run. */
export type Refusal = {
	readonly reason: Reason;
	readonly execution: Execution;
	readonly detail?: string;
};
