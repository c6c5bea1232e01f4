import {type ReducerContext} from '../state/reducer-context.js';
import {type ListedWorker, type Worker} from '../state/scheduler.js';

/**
 * Records the entry of a worker in the store, and since when it has had its address and start time. With a new address or service
 * it has to be recorded as a holder again, so that the next owner finds it and knows which tasks it may run.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param listing - its entry
 * @example
 * locateWorker(context, worker, listing);
 */
export function locateWorker({scheduler, now}: ReducerContext, worker: Worker, listing: ListedWorker): void {
	const knownStartMs = Math.max(worker.startedAtMs, worker.listedStartedAtMs);
	if (worker.address !== listing.address || knownStartMs < listing.startedAtMs) {
		worker.locatedAt = now;
	}

	if (worker.address !== listing.address || worker.service !== listing.service) {
		worker.recordedAsHolder = false;
		scheduler.holdersDirty = true;
	}

	worker.listing = listing;
	worker.listedStartedAtMs = listing.startedAtMs;
	worker.address = listing.address;
	worker.instance = listing.instance;
	worker.service = listing.service;
}
