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

/** Interval between two reads of the catalogue head with which an instance confirms its configuration. */
export const confirmationIntervalMs = 500;

/** Reads of the catalogue head that all members together may make in a second; the store handles about 2,000 reads. */
export const maximumConfirmationsPerSecond = 400;

/** Age of a member's last store contact from which the store counts as away for it; shorter than the freshness limit, so that members agree before it passes. */
export const storeAwayMs = 1000;

/** First and longest pause after a failed store call; each failure doubles the range that the pause is drawn from. */
export const storeBackoffBaseMs = 200;
export const storeBackoffLimitMs = 2000;

/** Time over which members spread their attempts to correct the store, for each known member. */
export const correctionSpreadMs = 50;
export const correctionSpreadLimitMs = 500;

/** Time that an edit may take before its outcome is reported as it stands. */
export const editTimeoutMs = 10_000;

/** Entries written by one correcting transaction; etcd refuses more than 128 operations. */
export const maximumCorrections = 50;

/** Members that a member sends its summary to. */
export const maximumNeighbours = 8;

/** Digests of other members that a summary relays. */
export const maximumRelayed = 3;

/** Interval between two summaries in fleets with more members than a member has neighbours. */
export const largeFleetSummaryIntervalMs = 1000;

/** Time that a new process waits to hear from a recorded member before it relies on the store alone; longer than the store backoff of the others. */
export const introductionLimitMs = 5000;

/** Interval between two announcements to a member that shows a lower revision. */
export const announcementIntervalMs = 1000;

/** Interval between two listings of the member records; it bounds the effect of a watch that has stopped without an end. */
export const memberListingIntervalMs = 30_000;

/** Time for which the absence of a member's record is remembered; far longer than the reclaim of its portions takes. */
export const absenceRetentionMs = 3_600_000;
