/**
 * Effects: what the reducer asks its host to do, as data.
 */
import {type RecordedAnswer} from '../deduplication/deduplication.js';
import {type Message} from '../membership/message.js';
import {type Refusal} from '../refusal.js';
import {type Transaction} from '../store/transaction.js';
import {type Counter} from './counters.js';
import {type Purpose} from './event.js';

export type Effect =
	/** Sends the task's request to a worker; ends with `attempt-finished`, with the answer when `keepAnswer` is set. */
	| {
		readonly type: 'start-attempt'; readonly taskId: string; readonly attemptId: string; readonly workerId: string; readonly address: string;
		readonly timeoutMs: number; readonly keepAnswer: boolean;
	}
	| {readonly type: 'cancel-attempt'; readonly attemptId: string; readonly workerId: string}
	/** Returns the answer of an attempt to the caller. */
	| {readonly type: 'answer'; readonly taskId: string; readonly attemptId: string}
	/** Returns the answer of an earlier request with the same idempotency key. */
	| {readonly type: 'answer-recorded'; readonly taskId: string; readonly answer: RecordedAnswer}
	| {readonly type: 'refuse'; readonly taskId: string; readonly refusal: Refusal}
	/** Ends with `store-transacted` for the same purpose and identifier. */
	| {readonly type: 'store-transact'; readonly purpose: Purpose; readonly id: string; readonly transaction: Transaction}
	/** Ends with `store-listed` for the same purpose and identifier. */
	| {readonly type: 'store-list'; readonly purpose: Purpose; readonly id: string; readonly prefix: string}
	/** Sends a message to another member; it may be lost, late or duplicated. */
	| {readonly type: 'peer-send'; readonly to: string; readonly message: Message}
	/** `subject` names the worker or job that the count is about. */
	| {readonly type: 'count'; readonly counter: Counter; readonly subject?: string}
	/** All tasks have ended after `shutdown-requested`. */
	| {readonly type: 'shutdown-finished'};

export type EffectOf<Type extends Effect['type']> = Extract<Effect, {type: Type}>;
