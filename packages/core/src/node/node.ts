/**
 * State of one process of rosemaryquay, which the other processes know as a member (an instance is an
 * upstream of the users' fleet). The reducer owns the state and updates it in place; each property is
 * written only by the handlers of the folder that it is named after.
 */
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type CatalogueState} from '../catalogue/catalogue-state.js';
import {type Snapshot} from '../catalogue/create-snapshot.js';
import {type WorkClass} from '../catalogue/schema.js';
import {type Deduplication} from '../deduplication/deduplication.js';
import {type Limits} from '../limits/limits.js';
import {type Membership} from '../membership/membership.js';
import {type Placement} from '../placement/placement.js';
import {type Retries} from '../retries/retries.js';
import {type Shares} from '../shares/shares.js';

/** An admitted request that has not ended. */
export type Task = {
	readonly id: string;
	readonly queue: string;
	readonly team: string;
	readonly pool: string;
	readonly class: WorkClass;
	readonly repeatable: boolean;
	readonly idempotencyKey?: string;
	readonly fingerprint?: string;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** `claiming`: waits until its idempotency claim is recorded. `waiting`: waits for the backoff before its next attempt. */
	state: 'claiming' | 'queued' | 'running' | 'waiting';
	countedAttempts: number;
	/** Total run time of earlier attempts until they were checkpointed. */
	ranMs: number;
	/** Checkpointed attempt whose progress a worker has saved; the next attempt resumes it there. */
	resume?: {readonly attemptId: string; readonly workerId: string; readonly notBefore: number};
	/** Number of attempts that ended with a checkpoint; the attempt after one resumes the same execution. */
	uncountedAttempts: number;
	/** Number of attempts that workers refused before running them. */
	attemptsUnstarted: number;
	/** An attempt whose answer was not received may have run. */
	mayHaveRun: boolean;
	/** A write of its claim was sent and may have taken effect. */
	mayBeClaimed: boolean;
	/** The caller was refused or has disconnected; the running attempt keeps its slot until it ends. */
	callerSettled: boolean;
	/** Workers on which an attempt failed. */
	readonly failedWorkers: string[];
	attemptId?: string;
};

/** One execution attempt of a task on one worker. */
export type Attempt = {
	readonly id: string;
	readonly taskId: string;
	readonly workerId: string;
	readonly startedAt: number;
	/** When a checkpoint or throttle was last requested. */
	preemptedAt?: number;
};

/** Tasks and attempts that have not ended. */
export type Tasks = {
	readonly byId: Map<string, Task>;
	readonly attempts: Map<string, Attempt>;
	shuttingDown: boolean;
	shutdownReported: boolean;
};

/** Times, on the node's own clock, by which the configuration counts as current and a store outage as confirmed. */
export type Freshness = {
	/** When a read of the store last confirmed the configuration (store contact). */
	storeContactAt: number;
	/** Latest time at which the configuration is known to have been current, by any of the rules of `decideFreshness`. */
	currentAt: number;
	/** When a majority of the last known members reported that they have no contact with the store. */
	outageConfirmedAt: number;
};

/** State of one process. */
export type Node = {
	readonly id: string;
	readonly zone: string;
	readonly random: RandomGenerator;
	snapshot: Snapshot;
	readonly tasks: Tasks;
	readonly limits: Limits;
	readonly shares: Shares;
	readonly placement: Placement;
	readonly retries: Retries;
	readonly deduplication: Deduplication;
	readonly freshness: Freshness;
	readonly membership: Membership;
	readonly catalogue: CatalogueState;
};
