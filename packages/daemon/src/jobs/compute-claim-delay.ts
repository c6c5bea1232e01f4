import {computeSizeFraction} from './compute-size-fraction.js';
import {type ProcessSettings} from './process-settings.js';

/** Longest delay of a claim; it exceeds the time that a claim of another process takes. */
const longestDelayMs = 200;

/** Factor of the delay just after the start of a process, because all processes of a system start at slightly different times. */
const startupFactor = 4;

/** Time after the start of a process during which its claims are delayed further. */
const startupMs = 3000;

/**
 * Computes how long an instance waits before it claims the vacant ownership of the schedule, so that the owner runs on a
 * large instance while one can be reached. Answers the load on the owner, which sends an order for each task of the whole
 * system and reads a report of each worker.
 *
 * @param size - size of the instance
 * @param options - time in milliseconds since the start of the process
 * @returns delay in milliseconds
 * @example
 * computeClaimDelay({cores: 0.3, linkMegabitsPerSecond: 20}, {uptimeMs: 60_000}); // 140
 */
export function computeClaimDelay(size: ProcessSettings['size'], options: {uptimeMs: number}): number {
	const delayMs = longestDelayMs * (1 - computeSizeFraction(size));
	return options.uptimeMs < startupMs ? delayMs * startupFactor : delayMs;
}
