import {loseMembers} from './lose-members.js';
import {type Pass} from './pass.js';
import {type Worker} from './scheduler.js';

/**
 * Records that a worker has certainly ended, although the store may still list it for a while.
 *
 * @param pass - the pass; its state is changed
 * @param worker - the worker
 * @param reason - stands in the log line
 * @example
 * endLife(pass, worker, 'upkeep');
 */
export function endLife(pass: Pass, worker: Worker, reason: string): void {
	loseMembers(pass, worker, reason);
	pass.scheduler.endedLives.set(worker.id, Math.max(worker.bornMs, worker.listing?.bornMs ?? 0));
	worker.listing = undefined;
	worker.recorded = false;
	worker.unresolvedUntil = 0;
	worker.leaseUntilMs = 0;
}
