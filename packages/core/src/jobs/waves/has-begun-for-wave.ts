import {type Upkeep, type Wave} from '../state/instance.js';
import {type Scheduler} from '../state/scheduler.js';

/** Time after a takeover in which the list of instances may show upkeeps that a former owner requested: the length of an upkeep and the longest delay of an order. */
const inheritedUpkeepMs = 4000;

/**
 * Tells whether an instance that the list shows in state `upkeep` is down for a given wave. The list does not say for
 * which wave it is, so an instance of several waves counts for none of them unless this owner has requested it for this
 * one only. The request is repeated once the instance is up, and the platform accepts it at once if the upkeep is already over.
 *
 * @param scheduler - the state
 * @param options - the wave, the upkeep, which is not accepted yet, and the local time at which the list was requested
 * @returns true if the upkeep has begun for this wave
 * @example
 * hasBegunForWave(scheduler, {wave, upkeep, requestedAt});
 */
export function hasBegunForWave(scheduler: Scheduler, options: {wave: Wave; upkeep: Upkeep; requestedAt: number}): boolean {
	const {wave, upkeep, requestedAt} = options;
	for (const other of scheduler.waves.values()) {
		const state = other === wave ? undefined : other.upkeeps.get(upkeep.instance)?.state;
		if (state !== undefined && state !== 'done' && !(state === 'pending' && upkeep.mayHaveBegun)) {
			return false;
		}
	}

	return upkeep.mayHaveBegun || requestedAt < scheduler.tookOverAt + inheritedUpkeepMs;
}
