import {maximumTicketDoublings, ticketLatencyMs} from '../state/constants.js';
import {type TicketService} from '../state/scheduler.js';

/** Multiple of the expected time from which a call to the service that issues tickets is overdue. */
const overdueMultiple = 2;

/**
 * Measures after what time a call to the service that issues tickets is overdue. It follows from the calls that the service
 * has to handle before, and from the time that earlier ones took, and is doubled for each call that has become overdue since the last
 * answer, so that a service which has become slower is not given more calls than it can handle.
 *
 * @param service - what is known of the service
 * @param queuedCostMs - time in milliseconds by the rules of the queues for the call and those before it
 * @returns milliseconds
 * @example
 * measureTicketWait(scheduler.ticketService, 560);
 */
export function measureTicketWait({slowness, overdueCalls}: TicketService, queuedCostMs: number): number {
	return ticketLatencyMs + (overdueMultiple * (2 ** Math.min(overdueCalls, maximumTicketDoublings)) * slowness * queuedCostMs);
}
