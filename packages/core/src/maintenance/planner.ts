/**
 * State, events and effects of the planner. Any entry instance may hold one; the planner lease
 * decides which of them acts.
 */
import {type ListedInstance} from '../node/event.js';
import {
	type Change, type Listing, type StoreOutcome, type Transaction, type TransactionResult,
} from '../store/transaction.js';
import {
	type BudgetRecord, type InstanceRecord, type PlanRecord, type Versioned,
} from './records.js';

/** Availability budget and peak hours of one pool, from the catalogue. */
export type PoolRules = {
	readonly services: readonly string[];
	/** Smallest availability budget of the services on the pool. */
	readonly unavailable: number;
	readonly peakHours: ReadonlyArray<{readonly from: number; readonly to: number}>;
};

export type PlannerSettings = {
	readonly leaseTtlMs: number;
	/** Age of the instance list from which on every instance counts as unavailable. */
	readonly listLimitMs: number;
	/** Part of a budget, rounded down, that waves leave to failures which the lagging list does not show yet. */
	readonly listReserve: number;
	/** Time that running work has to finish once an instance drains. */
	readonly drainMs: number;
	/** Time after which a reboot counts as failed. */
	readonly rebootMs: number;
	/** Time that a step is expected to take; none starts so close before a peak. */
	readonly stepMs: number;
	/** Interval at which the state of an action is read. */
	readonly pollMs: number;
	readonly maximumReboots: number;
	/** Time after which an instance that the list no longer has is forgotten. */
	readonly retireMs: number;
};

export type ActionName = 'drain' | 'undrain' | 'reboot' | 'move';

/** State of a platform action. `unknown`: the answer was lost. `absent`: the platform has not seen it. */
export type ActionState = 'running' | 'done' | 'failed' | 'unknown' | 'absent' | 'superseded';

/** What is known of the action of one generation. */
export type KnownAction = {generation: number; state: ActionState; askedAt: number; asking: boolean};

export type PlannerLease =
	| {readonly type: 'none'; readonly retryAt: number}
	| {readonly type: 'granting'; readonly sentAt: number}
	| {readonly type: 'claiming'; readonly leaseId: string; readonly sentAt: number; readonly validUntil: number; readonly unread: boolean}
	| {readonly type: 'held'; readonly leaseId: string; readonly fencing: number; readonly validUntil: number; readonly renewSentAt: number; readonly loaded: boolean};

/** A transaction that has been sent. */
export type PendingTransaction = {
	readonly keys: readonly string[];
	readonly puts: ReadonlyMap<string, string | undefined>;
	/** The outcome is unknown, so that the keys have to be read back. */
	readonly unread: boolean;
};

export type Planner = {
	readonly id: string;
	readonly prefix: string;
	readonly settings: PlannerSettings;
	lease: PlannerLease;
	pools: ReadonlyMap<string, PoolRules>;
	withdrawn: ReadonlySet<string>;
	listedAt: number;
	listed: ReadonlyMap<string, ListedInstance>;
	/** When the list first missed an instance that has a record. */
	readonly missingSince: Map<string, number>;
	/** Instances with a record that the list does not show as live, or whose availability zone is withdrawn. */
	readonly down: Set<string>;
	/** When the platform confirmed that an instance is back in service. */
	readonly returnedAt: Map<string, number>;
	/** Live instances without a record, as of the last list. */
	arrivals: string[];
	readonly instances: Map<string, Versioned<InstanceRecord>>;
	/** Instances that are out of service, lent, or that an operator asked something for. */
	readonly unsettled: Set<string>;
	/** First wave of each pool that is not finished, for the plan with this identifier. */
	progress: {planId: string; readonly firstWave: Map<string, number>};
	readonly budgets: Map<string, Versioned<BudgetRecord>>;
	plan: Versioned<PlanRecord> | undefined;
	readonly actions: Map<string, KnownAction>;
	readonly pending: Map<string, PendingTransaction>;
	loadSentAt: number;
	/** UTC time less `at`. */
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
	/** Ends with `lease-granted`. */
	| {readonly type: 'grant-lease'; readonly ttlMs: number}
	/** Ends with `lease-renewed`. */
	| {readonly type: 'renew-lease'; readonly leaseId: string; readonly sentAt: number}
	/** Ends with `store-transacted` for the same identifier. */
	| {readonly type: 'store-transact'; readonly id: string; readonly transaction: Transaction}
	/** Ends with `store-listed` for the same identifier. */
	| {readonly type: 'store-list'; readonly id: string; readonly prefix: string}
	/** Ends with `action-answered`, `unknown` when no answer came. */
	| {readonly type: 'perform-action'; readonly instance: string; readonly generation: number; readonly action: ActionName; readonly deadlineMs?: number; readonly target?: string}
	/** Ends with `action-answered`, `absent` when the platform does not know the generation. */
	| {readonly type: 'read-action'; readonly instance: string; readonly generation: number}
	| {readonly type: 'report'; readonly report: 'instance-suspect' | 'drain-undone' | 'planner-started' | 'planner-stopped' | 'record-invalid'; readonly subject: string};
