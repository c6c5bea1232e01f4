import {type Worker} from '../state/scheduler.js';

/**
 * Describes what is known of a worker that a former owner recorded as a holder and that has not answered.
 *
 * @param worker - the worker
 * @param now - local time in milliseconds
 * @returns fields for the log; those about its entry in the store tell an ended worker from one that is cut off
 * @example
 * describeHolder(worker, now).unlistedMs;
 */
export function describeHolder({id, service, instance, boundedStartedAtMs, listing, wasLeaving, unlistedAt}: Worker, now: number): Record<string, unknown> {
	return {
		worker: id, service, instance, boundedStartedAtMs, listedStartedAtMs: listing?.startedAtMs, leaving: wasLeaving, unlistedMs: listing === undefined ? Math.round(now - unlistedAt) : undefined,
	};
}
