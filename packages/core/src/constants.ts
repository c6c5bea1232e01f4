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

/** Interval at which the shares of a pool are computed; a fraction of the summary interval is soon enough. */
export const shareRefreshMs = 25;

/** Time over which a team's slots are brought back to its part of the share. */
export const creditHorizonMs = 1000;

/** Most slot time per slot that a team has to give back; longer debts would outlast the 10 s fairness window. */
export const maximumCreditMs = 5000;

/** Part of a pool's slots that bulk tasks leave free for urgent ones. */
export const urgentReserve = 1 / 32;

/** Longest time that a team's bulk or standard work waits while none of it starts at this instance. */
export const starvationMs = 10_000;

/** Run time by class until the first observation of a queue. */
export const initialRunTimeMs = {urgent: 100, standard: 500, bulk: 5000} as const;

/** Weight of the newest observation in a learned run time. */
export const runTimeWeight = 0.1;

/** Observations of a queue before its learned run time decides about refusals. */
export const minimumObservations = 20;

/** Time over which a team's debt counts towards checkpoints; shorter times checkpoint tasks of a few seconds twice. */
export const creditDebtHorizonMs = 5000;

/** Shortest run before a task is checkpointed, so that each resumption makes progress. */
export const preemptionQuantumMs = 500;

/** Time after which a checkpoint or throttle without effect is asked for again. */
export const preemptionRetryMs = 1000;

/** Duration of a throttle. */
export const throttleMs = 1000;

/** Wait of an urgent task after which bulk tasks make room; leaves most of the 1 s for the checkpoint itself. */
export const urgentGraceMs = 100;

/** Wait of a checkpointed task after its worker had no free slot. */
export const resumeBackoffMs = 50;

/** Wait that a checkpointed task must have room for before its deadline; most resume within a few seconds. */
export const checkpointWaitMs = 4000;

/** Most slots by which a team's debt holds back its urgent work; larger debts of bulk work delayed urgent work for seconds. */
export const urgentDebt = 0.25;
