/**
 * What the pump takes and reports.
 */
import {type AttemptOutcome, type Event} from '@rosemaryquay/core/node/event';
import {type Refusal} from '@rosemaryquay/core/refusal';

/** An event before the pump gives it its time. */
export type UntimedEvent = Event extends infer Member ? (Member extends Event ? Omit<Member, 'at'> : never) : never;

/** What happened, in order of time. */
export type TraceEntry =
	| {readonly type: 'started'; readonly at: number; readonly node: string; readonly taskId: string; readonly attemptId: string; readonly workerId: string; readonly team: string}
	| {readonly type: 'ended'; readonly at: number; readonly node: string; readonly taskId: string; readonly attemptId: string; readonly workerId: string; readonly team: string; readonly outcome: AttemptOutcome}
	| {readonly type: 'answered'; readonly at: number; readonly node: string; readonly taskId: string}
	| {readonly type: 'refused'; readonly at: number; readonly node: string; readonly taskId: string; readonly refusal: Refusal};

/** Outcome of a call to the in-memory store. */
export type CallOutcome<Value> = {ok: true; value: Value} | {ok: false; reason: 'unavailable' | 'outcome-unknown'};

/** Behaviour of the store at a moment. */
export type StoreCondition = {
	readonly down?: boolean;
	readonly delayMs?: number;
	/** Probability that an answer is lost after the write took effect. */
	readonly loseAnswers?: number;
	/** Probability that an answer comes twice. */
	readonly duplicateAnswers?: number;
	/** Probability that an answer comes after later ones. */
	readonly lateAnswers?: number;
};

/** Behaviour of messages on their way, as probabilities. */
export type Delivery = {
	readonly delayMs: number;
	readonly jitterMs: number;
	readonly drop: number;
	readonly duplicate: number;
};

/** How a worker treats an attempt: `undefined` runs it for `serviceTimeMs` and succeeds. */
export type WorkerModel = {
	slots: number;
	/** Time that a worker needs to save a task's progress. */
	checkpointMs?: number;
	serviceTimeMs(taskId: string): number;
	outcome?(attempt: {taskId: string; attemptId: string; workerId: string; at: number}): AttemptOutcome | undefined;
};
