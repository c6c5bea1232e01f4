/**
 * State of the retries of one node.
 */
import {type Heap} from 'heap-js';

/** A task that waits for its next attempt; `order` breaks ties between equal times. */
export type WaitingRetry = {
	readonly at: number;
	readonly sequence: number;
	readonly taskId: string;
};

/** Recent failures of one job, identified by queue and fingerprint. */
export type JobFailures = {
	readonly since: number;
	count: number;
	readonly workers: Set<string>;
	parkedUntil?: number;
};

export type Retries = {
	/** Retry budget: tokens by pool, so that a failing pool does not use up the retries of others. */
	readonly tokens: Map<string, number>;
	readonly waiting: Heap<WaitingRetry>;
	nextSequence: number;
	/** Failures by job (`queue/fingerprint`), oldest first. */
	readonly failures: Map<string, JobFailures>;
};
