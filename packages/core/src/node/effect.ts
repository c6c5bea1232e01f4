/**
 * Effects: what the reducer asks its host to do, as data.
 */
import {type EditResult} from '../catalogue/catalogue-state.js';
import {type Problem} from '../catalogue/list-problems.js';
import {type RecordedAnswer} from '../deduplication/deduplication.js';
import {type Message} from '../membership/message.js';
import {type Refusal} from '../refusal.js';
import {type Transaction} from '../store/transaction.js';
import {type Counter} from './counters.js';
import {type LeaseOperation, type Purpose} from './event.js';

/** A neighbour and where it is reached. */
export type Peer = {readonly id: string; readonly address: string; readonly zone: string};

/** Changes of state that operators see in the log. */
export type Report =
	| {readonly type: 'catalogue-loaded'; readonly revision: number}
	| {readonly type: 'catalogue-invalid'; readonly revision: number; readonly problems: readonly Problem[]}
	| {readonly type: 'catalogue-corrected'; readonly adopted: number; readonly rejected: number; readonly restored: number}
	| {readonly type: 'store-unavailable' | 'store-available' | 'member-registered' | 'member-lease-lost'};

export type Effect =
	/** Sends the task's request to a worker; ends with `attempt-finished`, with the answer when `keepAnswer` is set. */
	| {
		readonly type: 'start-attempt'; readonly taskId: string; readonly attemptId: string; readonly workerId: string; readonly address: string;
		readonly timeoutMs: number; readonly keepAnswer: boolean; readonly resumes?: string;
	}
	| {readonly type: 'cancel-attempt'; readonly attemptId: string; readonly workerId: string}
	/** Slows a bulk attempt down; it occupies no slot for the duration. */
	| {readonly type: 'throttle-attempt'; readonly attemptId: string; readonly workerId: string; readonly durationMs: number}
	/** Saves an attempt's progress at its worker; the attempt ends with the outcome `checkpointed`. */
	| {readonly type: 'checkpoint-attempt'; readonly attemptId: string; readonly workerId: string}
	/** Returns the answer of an attempt to the caller. */
	| {readonly type: 'answer'; readonly taskId: string; readonly attemptId: string}
	/** Returns the answer of an earlier request with the same idempotency key. */
	| {readonly type: 'answer-recorded'; readonly taskId: string; readonly answer: RecordedAnswer}
	| {readonly type: 'refuse'; readonly taskId: string; readonly refusal: Refusal}
	/** Ends with `store-transacted` for the same purpose and identifier. */
	| {readonly type: 'store-transact'; readonly purpose: Purpose; readonly id: string; readonly transaction: Transaction}
	/** Ends with `store-listed` for the same purpose and identifier. */
	| {readonly type: 'store-list'; readonly purpose: Purpose; readonly id: string; readonly prefix: string}
	/** Follows changes below a prefix; reports `store-watched` until the watch is over. */
	| {readonly type: 'store-watch'; readonly purpose: Purpose; readonly id: string; readonly prefix: string; readonly fromRevision: number}
	/** Ends with `store-leased`; `leaseId` is absent for `grant`. */
	| {readonly type: 'store-lease'; readonly purpose: Purpose; readonly id: string; readonly operation: LeaseOperation; readonly leaseId: string; readonly ttlMs: number}
	/** The outcome of an operator's edit. */
	| {readonly type: 'edit-answered'; readonly requestId: string; readonly result: EditResult}
	/** The members to keep connections with. */
	| {readonly type: 'peers-changed'; readonly peers: readonly Peer[]}
	/** A message for the operators, in the catalogue of log events. */
	| {readonly type: 'report'; readonly report: Report}
	/** Sends a message to another member; it may be lost, late or duplicated. */
	| {readonly type: 'peer-send'; readonly to: string; readonly message: Message}
	/** `subject` names the worker or job that the count is about. */
	| {readonly type: 'count'; readonly counter: Counter; readonly subject?: string}
	/** All tasks have ended after `shutdown-requested`. */
	| {readonly type: 'shutdown-finished'};

export type EffectOf<Type extends Effect['type']> = Extract<Effect, {type: Type}>;
