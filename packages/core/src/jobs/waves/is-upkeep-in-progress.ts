import {type Scheduler} from '../state/scheduler.js';

/**
 * Tells whether an instance is being drained for its upkeep, or is down for it.
 *
 * @param scheduler - the state
 * @param instance - id of the instance
 * @returns true from the start of the drain until the upkeep is done
 * @example
 * isUpkeepInProgress(scheduler, 'm-1');
 */
export function isUpkeepInProgress({waves}: Scheduler, instance: string): boolean {
	for (const {upkeeps} of waves.values()) {
		const state = upkeeps.get(instance)?.state;
		if (state !== undefined && state !== 'pending' && state !== 'done') {
			return true;
		}
	}

	return false;
}
