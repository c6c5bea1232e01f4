/**
 * State, events and effects of the maintenance planner. Every rosemaryquay process may run a planner; only the holder of
 * the planner lease acts.
 */
import {type ListedInstance} from '../node/event.js';
import {
	type Change, type Listing, type StoreOutcome, type Transaction, type TransactionResult,
} from '../store/transaction.js';
import {
	type BudgetRecord, type InstanceRecord, type PlanRecord, type Versioned,
} from './records.js';

/** Availability budget and peak hours of a pool, from the catalogue. */
export type PoolRules = {
	readonly services: readonly string[];
	/** Maximum number of unavailable instances: the smallest availability budget of the services on the pool. */
	readonly maximumUnavailable: number;
	readonly peakHours: ReadonlyArray<{readonly from: number; readonly to: number}>;
};

export type PlannerSettings = {
	readonly leaseTtlMs: number;
	/** Maximum age of the instance list. No planned step starts on an older list, because any instance may be unavailable. */
	readonly maximumListAgeMs: number;
	/** Fraction of a budget, rounded down, that maintenance steps of a plan keep free for failures that the lagging list does not show yet. */
	readonly failureReserveRatio: number;
	/** Time that running work has to finish after a drain starts. */
	readonly drainMs: number;
	/** Timeout of a reboot. */
	readonly rebootMs: number;
	/**
	 * Expected duration of a step: a drain with all that follows until the instance is back in service. A maintenance step of
	 * a plan neither starts nor is expected to end in peak hours; operator requests and lending are not restricted.
	 */
	readonly stepMs: number;
	/** Polling interval for the state of an action; also the retry interval for listing the records. */
	readonly pollIntervalMs: number;
	/** Number of consecutive failed reboots after which an instance is suspect. */
	readonly maximumRebootAttempts: number;
	/** Time after which the record of an instance that is missing from the list is deleted. */
	readonly missingRetentionMs: number;
};

/** Actions of the platform, not to be confused with the requests of operators. */
export type ActionName = 'drain' | 'undrain' | 'reboot' | 'move';

/**
 * State of a platform action. `unknown`: no valid answer arrived. `absent`: the platform has not received the action.
 * `superseded`: the platform has received a later generation.
 */
export type ActionState = 'running' | 'done' | 'failed' | 'unknown' | 'absent' | 'superseded';

/** Last known state of the platform action of one generation. */
export type TrackedAction = {
	generation: number;
	state: ActionState;
	/** Time of the last call, whether it requested the action or read its state. */
	calledAt: number;
	/** Whether the last call has not been answered yet. */
	awaitingAnswer: boolean;
};

/** State of the planner lease. `validUntil` is counted from when the request was sent, minus the clock drift margin. */
export type PlannerLease =
	/** No lease; the next request is sent at `retryAt` or later. */
	| {readonly type: 'none'; readonly retryAt: number}
	/** The request for a lease has been sent. */
	| {readonly type: 'granting'; readonly sentAt: number}
	/** The lease is granted, and the write of the planner key has been sent; `needsClaimRetry` when its outcome is unknown. */
	| {readonly type: 'claiming'; readonly leaseId: string; readonly sentAt: number; readonly validUntil: number; readonly needsClaimRetry: boolean}
	/**
	 * The planner key is written under the lease. `fencingToken`: modification revision of the planner key, which every
	 * transaction that writes records compares. `renewSentAt`: time of the last renewal request. `loaded`: whether the fleet
	 * records have been loaded.
	 */
	| {readonly type: 'held'; readonly leaseId: string; readonly fencingToken: number; readonly validUntil: number; readonly renewSentAt: number; readonly loaded: boolean};

/** A transaction that has been sent and has no known outcome yet. */
export type PendingTransaction = {
	readonly keys: readonly string[];
	/** Values to write by key; `undefined` deletes the key. */
	readonly writes: ReadonlyMap<string, string | undefined>;
	/** The outcome is unknown, so the next tick reads the keys back. */
	readonly needsReadBack: boolean;
};

export type Planner = {
	readonly id: string;
	readonly prefix: string;
	readonly settings: PlannerSettings;
	lease: PlannerLease;
	rulesByPool: ReadonlyMap<string, PoolRules>;
	withdrawnZones: ReadonlySet<string>;
	listedAt: number;
	listedInstances: ReadonlyMap<string, ListedInstance>;
	/** Time at which an instance with a record was first missing from the list. */
	readonly missingSince: Map<string, number>;
	/**
	 * Instances with a record that count as unavailable according to the instance list: missing, listed as `leaving` (as
	 * during a drain), or in a withdrawn availability zone. Includes instances that are out of service for a planned step.
	 */
	readonly notLive: Set<string>;
	/** Time at which the platform confirmed that an instance is back in service. */
	readonly returnedAt: Map<string, number>;
	/** Instances that the last list shows as live and that have no record. */
	newInstances: string[];
	/** Records of the instances, in contrast to `listedInstances`, which the platform lists. */
	readonly instances: Map<string, Versioned<InstanceRecord>>;
	/** Instances that are out of service or lent, or for which an operator request is pending. */
	readonly instancesToReconcile: Set<string>;
	/**
	 * Index of the wave from which to look for unfinished instances, by pool, which saves iterating over finished waves. Reset
	 * when `planId` is no longer the current plan.
	 */
	waveProgress: {planId: string; readonly firstUnfinishedWave: Map<string, number>};
	readonly budgets: Map<string, Versioned<BudgetRecord>>;
	plan: Versioned<PlanRecord> | undefined;
	readonly actions: Map<string, TrackedAction>;
	readonly pendingTransactions: Map<string, PendingTransaction>;
	loadSentAt: number;
	/** Difference between UTC time and the monotonic time of events. */
	utcOffsetMs: number;
	sequence: number;
};

export type PlannerEvent =
	| {readonly type: 'tick'; readonly at: number; readonly utcMs: number}
	| {readonly type: 'rules-loaded'; readonly at: number; readonly pools: ReadonlyMap<string, PoolRules>; readonly withdrawn: ReadonlySet<string>}
	| {readonly type: 'instances-listed'; readonly at: number; readonly instances: readonly ListedInstance[]}
	| {readonly type: 'lease-granted'; readonly at: number; readonly outcome: StoreOutcome<string>}
	| {readonly type: 'lease-renewed'; readonly at: number; readonly leaseId: string; readonly sentAt: number; readonly outcome: StoreOutcome<number>}
	| {readonly type: 'store-transacted'; readonly at: number; readonly id: string; readonly outcome: StoreOutcome<TransactionResult>}
	| {readonly type: 'store-listed'; readonly at: number; readonly id: string; readonly outcome: StoreOutcome<Listing>}
	| {readonly type: 'records-changed'; readonly at: number; readonly changes: readonly Change[]}
	| {readonly type: 'action-answered'; readonly at: number; readonly instance: string; readonly generation: number; readonly state: ActionState};

export type PlannerEventOf<Type extends PlannerEvent['type']> = Extract<PlannerEvent, {type: Type}>;

export type PlannerEffect =
	/** Answered by `lease-granted`. */
	| {readonly type: 'grant-lease'; readonly ttlMs: number}
	/** Answered by `lease-renewed`. */
	| {readonly type: 'renew-lease'; readonly leaseId: string; readonly sentAt: number}
	/**
	 * Answered by `store-transacted` with the same identifier, whose prefix decides who handles the outcome: `claim-` for the
	 * planner key, `transition-` for records, `read-` for reading back the keys of a transaction.
	 */
	| {readonly type: 'store-transact'; readonly id: string; readonly transaction: Transaction}
	/** Answered by `store-listed` with the same identifier. */
	| {readonly type: 'store-list'; readonly id: string; readonly prefix: string}
	/** Answered by `action-answered`; the state is `unknown` when no answer arrived. */
	| {readonly type: 'perform-action'; readonly instance: string; readonly generation: number; readonly action: ActionName; readonly deadlineMs?: number; readonly target?: string}
	/** Answered by `action-answered`; the state is `absent` when the platform does not know the generation. */
	| {readonly type: 'read-action'; readonly instance: string; readonly generation: number}
	| {readonly type: 'report'; readonly report: 'instance-suspect' | 'drain-undone' | 'planner-started' | 'planner-stopped' | 'record-invalid'; readonly subject: string};
