import {type Worker} from '../state/scheduler.js';
import {type Estimates} from './estimates.js';

/** Time after the last slow run from which a slow worker is tried like any other; slowness usually lasts for seconds. */
const retrialMs = 5000;

/**
 * Splits workers into those that get tasks first and slow ones, which get tasks only when no other has room, and no more
 * than they are allowed to. Slow workers that may have no further task are left out.
 *
 * @param estimates - what was learned
 * @param workers - the workers
 * @param now - local time in milliseconds
 * @returns the workers of both kinds
 * @example
 * splitBySpeed(scheduler.estimates, workers, now).slow;
 */
export function splitBySpeed({speeds}: Estimates, workers: readonly Worker[], now: number): {readonly fast: readonly Worker[]; readonly slow: readonly Worker[]} {
	const slow: Worker[] = [];
	const fast: Worker[] = [];
	for (const worker of workers) {
		const speed = speeds.get(worker.instance === '' ? worker.id : worker.instance);
		if (!speed?.isSlow) {
			fast.push(worker);
		} else if (worker.tasks.size < speed.allowance && now >= speed.pausedUntil) {
			(now - speed.slowAt > retrialMs ? fast : slow).push(worker);
		}
	}

	return {fast, slow};
}
