/** Remaining time of a straggler as a multiple of the time of a fresh run. Run times of the tasks of a step differ by less, so a fresh run ends first. */
const remainingTimeRatio = 1.5;

/** Time that the order and the report of a duplicate take beyond its run, in milliseconds. */
const orderingMs = 100;

/** Part of the time of a fresh run for which a run is observed before it is judged; its start-up distorts the speed of a shorter one. */
const observedPart = 0.5;

/**
 * Tells whether the remaining time of a run clearly exceeds the time of a fresh run.
 *
 * @param run - times in milliseconds: from its start to the last report, or to now if its worker is silent; the estimated remaining time; the estimated time of a fresh run
 * @returns true if a duplicate would end first
 * @example
 * isStraggler({observedMs: 500, remainingMs: 2000, freshMs: 500}); // true
 */
export function isStraggler({observedMs, remainingMs, freshMs}: {readonly observedMs: number; readonly remainingMs: number; readonly freshMs: number}): boolean {
	return observedMs >= freshMs * observedPart && remainingMs > (freshMs * remainingTimeRatio) + orderingMs;
}
