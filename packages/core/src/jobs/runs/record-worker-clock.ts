import {slowestClockRate} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {logRestart} from './log-restart.js';
import {restartWorkerClock} from './restart-worker-clock.js';

/** Most by which the difference of two readings, in whole milliseconds, is below the time between them. */
const clockRoundingMs = 1;

/** Longest time between a reading of a worker's clock and its arrival here; a call is given up earlier. */
const readingDelayMs = 1000;

type Reading = {
	/** The reading in milliseconds. */
	readonly clockMs: number;
	/** Local time at which the order was sent, if it is known. */
	readonly sentAt: number | undefined;
	/** Start time of the incarnation that answered, in milliseconds since 1970, if the answer names it. */
	readonly startedAtMs?: number | undefined;
};

/**
 * Records the reading of a worker's clock in the answer to an order. An answer of an earlier incarnation is ignored. After
 * one of a later incarnation, the worker gets no new tasks before its report shows what it runs. If the answer does not
 * name the incarnation, a reading that the known clock cannot show at that time belongs to another one.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker; changed
 * @param reading - the reading
 * @example
 * recordWorkerClock(context, worker, {clockMs: 4711, sentAt: task.lastOrderAt});
 */
export function recordWorkerClock(context: ReducerContext, worker: Worker, reading: Reading): void {
	const {clockMs, startedAtMs} = reading;
	if (startedAtMs !== undefined && startedAtMs < worker.answeredStartedAtMs) {
		return;
	}

	worker.answeredStartedAtMs = startedAtMs ?? worker.answeredStartedAtMs;

	if (isOtherIncarnation(worker, reading, context.now)) {
		restartWorkerClock(context, worker, clockMs);
		worker.acknowledgedOwner = false;
		worker.reportDueAt = context.now;
		logRestart(context, worker, {evidence: 'order-answer', startedAtMs});
		return;
	}

	if (clockMs > worker.clockMs) {
		worker.clockMs = clockMs;
		worker.clockReadAt = context.now;
	}
}

function isOtherIncarnation(worker: Worker, {clockMs, sentAt, startedAtMs}: Reading, now: number): boolean {
	if (worker.startedAtMs === 0) {
		return false;
	}

	if (startedAtMs !== undefined) {
		return startedAtMs !== worker.startedAtMs;
	}

	return (sentAt !== undefined && clockMs + clockRoundingMs < findLowestReading(worker, sentAt)) || clockMs > findHighestReading(worker, now);
}

/** Lowest possible reading of a worker's clock at a local time. */
function findLowestReading({clockMs, clockReadAt}: Worker, at: number): number {
	return clockMs + ((at - clockReadAt) * (at < clockReadAt ? 1 : slowestClockRate));
}

/** Highest possible reading of a worker's clock at a local time. */
function findHighestReading({clockMs, clockReadAt}: Worker, at: number): number {
	return clockMs + (at - clockReadAt) + readingDelayMs + clockRoundingMs;
}
