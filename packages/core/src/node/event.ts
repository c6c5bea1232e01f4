/**
 * Events: the inputs of the reducer. `at` is the time of the event in milliseconds on the process's
 * monotonic clock; the reducer has no clock of its own.
 */
import {type Edit} from '../catalogue/catalogue-state.js';
import {type Snapshot} from '../catalogue/create-snapshot.js';
import {type RecordedAnswer} from '../deduplication/deduplication.js';
import {type Message} from '../membership/message.js';
import {
	type Change, type Listing, type StoreOutcome, type TransactionResult,
} from '../store/transaction.js';

/** A request as the HTTP server read it. */
export type Arrival = {
	readonly id: string;
	readonly queue: string;
	/** SHA-256 hash of the presented key, hexadecimal. */
	readonly keyHash?: string;
	readonly idempotencyKey?: string;
	/** Hash of the body; detects reuse of an idempotency key for another request, and identifies jobs that fail on every worker. */
	readonly fingerprint?: string;
	readonly bodyBytes: number;
	/** Deadline that the caller requested, relative to arrival. */
	readonly deadlineMs?: number;
};

/**
 * How an attempt ended. `not-started`: no byte of the request can have reached the worker, or the
 * worker refused it before running it. `failed`: the worker ran it and reported a failure. `lost`: the
 * request was sent and no complete answer was received. `checkpointed`: the worker saved the progress,
 * and a later attempt at the same worker resumes the execution.
 */
export type AttemptOutcome =
	/** `answer` is present for requests with an idempotency key, unless it is too long to cache. */
	| {readonly type: 'succeeded'; readonly answer?: RecordedAnswer}
	| {readonly type: 'not-started'; readonly cause: 'connection-refused' | 'slots-full' | 'leaving' | 'lease-lapsed' | 'duplicate' | 'checkpoint-unknown'}
	| {readonly type: 'failed'; readonly status: number}
	| {readonly type: 'checkpointed'}
	| {readonly type: 'lost'; readonly cause: 'connection-lost' | 'answer-incomplete' | 'answer-mismatched' | 'timeout'};

/** An upstream instance in the platform's instance list; each runs one worker. */
export type ListedInstance = {
	readonly id: string;
	readonly address: string;
	readonly zone: string;
	readonly rack: string;
	readonly pool: string;
	readonly state: 'live' | 'leaving';
};

/** Usage reported by a worker, with a delay. */
export type Usage = {
	readonly workerId: string;
	readonly runningSlots: number;
};

/** Part of the node that made a store call and handles its answer. */
export type Purpose = 'claim' | 'portion' | 'member' | 'catalogue' | 'fleet';

export type LeaseOperation = 'grant' | 'renew' | 'revoke';

/** Update of a watch on the store. After anything but `changed` the watch has ended. */
export type WatchUpdate =
	| {readonly type: 'changed'; readonly changes: readonly Change[]; readonly revision: number}
	| {readonly type: 'compacted' | 'ended' | 'restored'};

/** This node's member lease. `validUntil` is measured from the time at which the last successful renewal was sent, less the clock drift margin. */
export type MemberLease = {
	/** Identifier of the lease, which differs for each registration of a member. */
	readonly registration: string;
	readonly validUntil: number;
};

/** A member whose record was in the store. */
export type PresentMember = {readonly id: string; readonly registration: string};

export type Event =
	/** The process has started and may use the store; other members reach it at `address`. */
	| {readonly type: 'process-started'; readonly at: number; readonly address: string; readonly incarnation: number; readonly prefix: string}
	| {readonly type: 'edit-requested'; readonly at: number; readonly edit: Edit}
	| {readonly type: 'store-watched'; readonly at: number; readonly purpose: Purpose; readonly id: string; readonly update: WatchUpdate}
	| {readonly type: 'store-leased'; readonly at: number; readonly purpose: Purpose; readonly id: string; readonly operation: LeaseOperation; readonly outcome: StoreOutcome<{readonly leaseId: string; readonly ttlMs: number}>}
	| {readonly type: 'request-arrived'; readonly at: number; readonly arrival: Arrival}
	| {readonly type: 'request-cancelled'; readonly at: number; readonly taskId: string}
	| {readonly type: 'attempt-finished'; readonly at: number; readonly attemptId: string; readonly outcome: AttemptOutcome}
	/** For a host without a store, such as an embedding program, a test or a measurement: replaces the catalogue in force by a newer one. */
	| {readonly type: 'catalogue-loaded'; readonly at: number; readonly snapshot: Snapshot}
	/** For a host without a store: the configuration was current at this time. */
	| {readonly type: 'configuration-confirmed'; readonly at: number}
	| {readonly type: 'store-transacted'; readonly at: number; readonly purpose: Purpose; readonly id: string; readonly outcome: StoreOutcome<TransactionResult>}
	| {readonly type: 'store-listed'; readonly at: number; readonly purpose: Purpose; readonly id: string; readonly outcome: StoreOutcome<Listing>}
	| {readonly type: 'instances-listed'; readonly at: number; readonly instances: readonly ListedInstance[]}
	| {readonly type: 'usage-reported'; readonly at: number; readonly usage: readonly Usage[]}
	/** State of the member leases as the membership knows it; absent properties are unchanged. */
	| {readonly type: 'members-observed'; readonly at: number; readonly lease?: MemberLease; readonly storeOutageUntil?: number; readonly present?: readonly PresentMember[]}
	/** For a host without a store: all members. */
	| {readonly type: 'peers-listed'; readonly at: number; readonly members: readonly string[]}
	| {readonly type: 'peer-received'; readonly at: number; readonly from: string; readonly message: Message}
	| {readonly type: 'tick'; readonly at: number}
	| {readonly type: 'shutdown-requested'; readonly at: number};

export type EventOf<Type extends Event['type']> = Extract<Event, {type: Type}>;
