import {isUpkeepInProgress} from '../waves/is-upkeep-in-progress.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';

/**
 * Tells whether a worker that has ended was shutting down, or ended because its instance moved or was rebooted on request.
 *
 * @param scheduler - the state
 * @param worker - the worker
 * @returns false if it crashed
 * @example
 * isPlannedEnd(scheduler, worker);
 */
export function isPlannedEnd(scheduler: Scheduler, worker: Worker): boolean {
	const {instance, cordoned, wasLeaving} = worker;
	const state = scheduler.instances.get(instance)?.state ?? 'up';
	return wasLeaving || cordoned || state === 'moving' || state === 'upkeep' || scheduler.moves.has(instance) || isUpkeepInProgress(scheduler, instance);
}
