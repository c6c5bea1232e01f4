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

/** Allowance for task starts that are on their way to a worker when the lease of their holder ends. */
export const reclaimGraceMs = 2000;

/** Wait between seeing a holder absent and taking back its portions: its last task lease has lapsed by then. */
export const reclaimDelayMs = taskLeaseTtlMs + reclaimGraceMs + clockDriftMarginMs;

/** Shortest average interval between two store calls for portions of one process; at 250 ms, reads left too few calls for writes. */
export const portionCallIntervalMs = 150;

/** Calls for portions of all processes together, a third of what a store of several hundred writes a second takes. */
export const portionCallsPerSecond = 200;

/** Calls for portions that a process may make at once after a quiet time. */
export const portionCallBurst = 4;

/** Time after which a store call for portions counts as lost; longer than the store client's own timeout. */
export const portionCallTimeoutMs = 5000;

/** Largest number of portion records in one store call; etcd takes 128 operations in a transaction. */
export const portionBatchSize = 48;

/** Wait after a store call for portions failed, before jitter. */
export const portionRetryMs = 500;

/** Age at which a portion record in use is read again without unmet demand. */
export const portionPollMs = 1000;

/** Least interval between two reads of records in use, for each team of a process; bounds what it reads a second. */
export const portionPollPerTeamMs = 40;

/** Age at which a portion record is read again with unmet demand. */
export const portionUrgentPollMs = 250;

/** Time that a holder keeps an idle portion while no other holder wants it, and while one does. */
export const idlePortionMs = 10_000;
export const contendedPortionMs = 100;

/** Longest wait for the return of portions in a graceful shutdown; later they are reclaimed. */
export const portionReturnTimeoutMs = 3000;

/** Time constant of the average of a holder's demand. */
export const demandAverageMs = 1000;

/** Part of a limit below which its free part is scarce: calls for single requests are spaced. */
export const scarcePart = 0.25;

/** Time for which the absence of a member is remembered. */
export const absenceRetentionMs = 3_600_000;
