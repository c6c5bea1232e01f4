/**
 * State of the retries of one node.
 */
import {type Heap} from 'heap-js';

/** A task that waits for its next attempt; `sequence` breaks ties between equal times. */
export type ScheduledRetry = {
	readonly at: number;
	readonly sequence: number;
	readonly taskId: string;
};

/** Recent failures of one job: of all requests with the same queue and the same hash of the body (fingerprint). */
export type JobFailures = {
	/** Time of the first failure; one that occurs more than `parkingWindowMs` later begins a new record. */
	readonly windowStartedAt: number;
	count: number;
	readonly workers: Set<string>;
	parkedUntil?: number;
};

export type Retries = {
	/** Retry budget: tokens by pool, so that a failing pool does not use up the retries of others. */
	readonly retryTokens: Map<string, number>;
	/** Retries in order of time. */
	readonly scheduledRetries: Heap<ScheduledRetry>;
	nextSequence: number;
	/** Failures by job (`queue/fingerprint`), oldest first. */
	readonly failures: Map<string, JobFailures>;
};
