/**
 * Shared constants. Every name carries its unit.
 */

export const millisecondsPerSecond = 1000;

/** Interval between two `tick` events. */
export const tickIntervalMs = 100;

/** Time to live of a task lease at a worker; a worker stops the tasks of a holder that has not renewed it. */
export const taskLeaseTtlMs = 6000;

/** Time to live of a member's lease in the store. */
export const memberLeaseTtlMs = 6000;

/** Largest difference in clock rate that lease holders allow for over one lease. */
export const clockDriftMarginMs = 500;

/** Oldest confirmation of the configuration with which an instance may start work. */
export const freshnessLimitMs = 2000;

/** Interval between two summaries that a member sends. */
export const summaryIntervalMs = 250;

/** Age after which a member's summary no longer counts. */
export const summaryRetentionMs = 3000;

/** Deadline of a request whose caller and queue give none. */
export const defaultDeadlineMs = 30_000;

/** Largest request body that a queue may allow. */
export const maximumBodyBytes = 8 * 1024 * 1024;

/** Longest queue per pool and team in one process; longer queues are refused. */
export const maximumQueuedPerTeam = 1000;
