import {isUpkeepInProgress} from '../waves/is-upkeep-in-progress.js';
import {type Scheduler} from '../state/scheduler.js';

/**
 * Tells whether an instance is about to go down or to move, so that its workers get no new tasks.
 *
 * @param scheduler - the state
 * @param instance - id of the instance
 * @returns true while its upkeep, a move or a drain for one is in progress
 * @example
 * worker.cordoned = isInstanceReserved(scheduler, worker.instance);
 */
export function isInstanceReserved(scheduler: Scheduler, instance: string): boolean {
	return isUpkeepInProgress(scheduler, instance) || scheduler.moves.has(instance) || scheduler.drains.has(instance);
}
