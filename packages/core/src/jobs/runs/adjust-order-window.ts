import {type OrderOutcome} from '../state/event.js';
import {type OrderWindow} from './order-window.js';

const minimumOrderWindow = 8;
const maximumOrderWindow = 256;

/** Pause between two reductions, as long as the time-out of a call: orders that were sent together are lost together. */
const reductionIntervalMs = 400;

/** Latency above which answers show a queue on the link or the processor of the owner; less than half of a call's time-out. */
const slowAnswerMs = 150;

/**
 * Adjusts the number of start orders that may be unanswered at the same time: a fast answer increases it by one, a slow one
 * decreases it by one, a lost one halves it. Answers the load just after a takeover and at the start of a burst, when more orders are due than the link
 * and the processor of the owner bear: all of them would miss their time-outs, and be repeated or stopped.
 *
 * @param window - the window; changed
 * @param answer - outcome of a start order, and the time in milliseconds since it was sent
 * @param now - local time in milliseconds
 * @example
 * adjustOrderWindow(scheduler.orderWindow, {outcome: 'accepted', latencyMs: 8}, now);
 */
export function adjustOrderWindow(window: OrderWindow, answer: {outcome: OrderOutcome; latencyMs: number}, now: number): void {
	const {outcome, latencyMs} = answer;
	if (outcome !== 'unanswered' && outcome !== 'unreachable' && outcome !== 'withheld') {
		window.size = Math.min(maximumOrderWindow, Math.max(minimumOrderWindow, window.size + (latencyMs > slowAnswerMs ? -1 : 1)));
		return;
	}

	if (now >= window.reducedUntil) {
		window.size = Math.max(minimumOrderWindow, Math.floor(window.size / 2));
		window.reducedUntil = now + reductionIntervalMs;
	}
}
