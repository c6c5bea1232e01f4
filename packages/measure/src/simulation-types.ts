/**
 * Types of the inputs and the trace of the simulation.
 */
import {type AttemptOutcome, type Event} from '@rosemaryquay/core/node/event';
import {type Refusal} from '@rosemaryquay/core/refusal';

/** An event without its time, which the simulation sets on delivery. */
export type UntimedEvent = Event extends infer Member ? (Member extends Event ? Omit<Member, 'at'> : never) : never;

/** Entry of the trace, which is in order of time. */
export type TraceEntry =
	| {readonly type: 'started'; readonly at: number; readonly node: string; readonly taskId: string; readonly attemptId: string; readonly workerId: string; readonly team: string}
	| {readonly type: 'ended'; readonly at: number; readonly node: string; readonly taskId: string; readonly attemptId: string; readonly workerId: string; readonly team: string; readonly outcome: AttemptOutcome}
	| {readonly type: 'answered'; readonly at: number; readonly node: string; readonly taskId: string}
	| {readonly type: 'refused'; readonly at: number; readonly node: string; readonly taskId: string; readonly refusal: Refusal};

/** Outcome of a call to the in-memory store. */
export type CallOutcome<Value> = {ok: true; value: Value} | {ok: false; reason: 'unavailable' | 'outcome-unknown'};

/** Present faults of the store. */
export type StoreCondition = {
	readonly down?: boolean;
	readonly delayMs?: number;
	/** Probability that a response is lost after the call took effect. */
	readonly lostResponseProbability?: number;
	/** Probability that a response is delivered twice. */
	readonly duplicateResponseProbability?: number;
	/** Probability that a response arrives after the caller's timeout, and so after later ones. */
	readonly lateResponseProbability?: number;
};

/** Delay of messages in milliseconds, and the probabilities that one is dropped or duplicated. */
export type Delivery = {
	readonly delayMs: number;
	readonly jitterMs: number;
	readonly dropProbability: number;
	readonly duplicateProbability: number;
};

/** Behaviour of workers. An attempt runs for `serviceTimeMs` and succeeds unless `outcome` returns another result. */
export type WorkerModel = {
	slots: number;
	/** Time that a worker takes to save a checkpoint of a task. */
	checkpointMs?: number;
	serviceTimeMs(taskId: string): number;
	outcome?(attempt: {taskId: string; attemptId: string; workerId: string; at: number}): AttemptOutcome | undefined;
};
