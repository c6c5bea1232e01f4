/**
 * State of one entry instance. The reducer owns it and updates it in place; each property is
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

/** A caller's request while this node is responsible for it. */
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
	/** `claiming`: waits for its claim. `waiting`: waits for the time of its next attempt. */
	state: 'claiming' | 'queued' | 'running' | 'waiting';
	attemptsStarted: number;
	/** Time that earlier attempts ran before they were checkpointed. */
	ranMs: number;
	/** Attempt whose progress is kept at a worker. */
	resume?: {readonly attemptId: string; readonly workerId: string; readonly notBefore: number};
	/** Attempts that ended with a checkpoint; the next attempt resumes the same execution. */
	checkpoints: number;
	/** Attempts that workers refused before running them. */
	attemptsUnstarted: number;
	/** An attempt may have run and not been answered. */
	mayHaveRun: boolean;
	/** The store may hold its claim: a write was sent, and not certainly without effect. */
	claimed: boolean;
	/** The caller has been refused or has gone; the running attempt keeps its slot until it ends. */
	abandoned: boolean;
	/** Workers on which an attempt failed. */
	readonly failedWorkers: string[];
	attemptId?: string;
};

/** One try of a task on one worker. */
export type Attempt = {
	readonly id: string;
	readonly taskId: string;
	readonly workerId: string;
	readonly startedAt: number;
	/** When a checkpoint or throttle was last asked for. */
	preemptedAt?: number;
};

/** Tasks and attempts that have not ended. */
export type Tasks = {
	readonly byId: Map<string, Task>;
	readonly attempts: Map<string, Attempt>;
	shuttingDown: boolean;
	shutdownReported: boolean;
};

/** Latest times, on the node's own clock, at which the configuration is known to have been current. */
export type Freshness = {
	/** By the node's own store contact. */
	confirmedAt: number;
	/** By any of the rules. */
	currentAt: number;
	/** When a majority of the last known members reported that the store is away for all. */
	awayAt: number;
};

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
