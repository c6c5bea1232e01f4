/**
 * Effects: the actions that the reducer requests from its host, as data.
 */
import {type EditResult} from '../catalogue/catalogue-state.js';
import {type Problem} from '../catalogue/list-problems.js';
import {type RecordedAnswer} from '../deduplication/deduplication.js';
import {type Message} from '../membership/message.js';
import {type Refusal} from '../refusal.js';
import {type Transaction} from '../store/transaction.js';
import {type Counter} from './counters.js';
import {type LeaseOperation, type Purpose} from './event.js';

/** A member, its address and its availability zone. */
export type MemberAddress = {readonly id: string; readonly address: string; readonly zone: string};

/** Changes of state that are logged for the operators. */
export type Report =
	| {readonly type: 'catalogue-loaded'; readonly revision: number}
	| {readonly type: 'catalogue-invalid'; readonly revision: number; readonly problems: readonly Problem[]}
	| {readonly type: 'catalogue-corrected'; readonly adopted: number; readonly rejected: number; readonly restored: number}
	| {readonly type: 'store-unavailable' | 'store-available' | 'member-registered' | 'member-lease-lost'};

export type Effect =
	/** Sends the task's request to a worker. Completed by `attempt-finished`, with the answer when `includeAnswer` is set. `resumedAttemptId` is the checkpointed attempt to resume. */
	| {
		readonly type: 'start-attempt'; readonly taskId: string; readonly attemptId: string; readonly workerId: string; readonly address: string;
		readonly timeoutMs: number; readonly includeAnswer: boolean; readonly resumedAttemptId?: string;
	}
	| {readonly type: 'cancel-attempt'; readonly attemptId: string; readonly workerId: string}
	/** Throttles a bulk attempt, which occupies no slot for the duration. */
	| {readonly type: 'throttle-attempt'; readonly attemptId: string; readonly workerId: string; readonly durationMs: number}
	/** Makes the worker save the attempt's progress; the attempt then finishes with the outcome `checkpointed`. */
	| {readonly type: 'checkpoint-attempt'; readonly attemptId: string; readonly workerId: string}
	/** Returns the answer of an attempt to the caller. */
	| {readonly type: 'answer'; readonly taskId: string; readonly attemptId: string}
	/** Returns the answer of an earlier request with the same idempotency key. */
	| {readonly type: 'answer-recorded'; readonly taskId: string; readonly answer: RecordedAnswer}
	| {readonly type: 'refuse'; readonly taskId: string; readonly refusal: Refusal}
	/** Completed by `store-transacted` with the same purpose and identifier. */
	| {readonly type: 'store-transact'; readonly purpose: Purpose; readonly id: string; readonly transaction: Transaction}
	/** Completed by `store-listed` with the same purpose and identifier. */
	| {readonly type: 'store-list'; readonly purpose: Purpose; readonly id: string; readonly prefix: string}
	/** Watches for changes below a prefix; each update is a `store-watched`, until the watch ends. */
	| {readonly type: 'store-watch'; readonly purpose: Purpose; readonly id: string; readonly prefix: string; readonly fromRevision: number}
	/** Completed by `store-leased`. `leaseId` is empty for `grant`. */
	| {readonly type: 'store-lease'; readonly purpose: Purpose; readonly id: string; readonly operation: LeaseOperation; readonly leaseId: string; readonly ttlMs: number}
	/** Result of an operator's edit. */
	| {readonly type: 'edit-answered'; readonly requestId: string; readonly result: EditResult}
	/** The neighbours, to keep connections with. */
	| {readonly type: 'peers-changed'; readonly peers: readonly MemberAddress[]}
	/** A log event for operators. */
	| {readonly type: 'report'; readonly report: Report}
	/** Sends a message to another member; it may be lost, delayed or duplicated. */
	| {readonly type: 'peer-send'; readonly to: string; readonly message: Message}
	/** Increments a counter. `subject` names the worker or job that it concerns. */
	| {readonly type: 'count'; readonly counter: Counter; readonly subject?: string}
	/** All tasks have ended after `shutdown-requested`. */
	| {readonly type: 'shutdown-finished'};

export type EffectOf<Type extends Effect['type']> = Extract<Effect, {type: Type}>;
