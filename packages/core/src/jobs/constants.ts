/**
 * Constants of the scheduler of jobs. Every name carries its unit; the line above says where the figure comes from.
 */

/** Lease on what a worker runs: the store lease of the scheduling instance, its takeover and two renewals fit into it. */
export const runLeaseMs = 3200;

/** Slowest worker clock: the platform states that a worker's clock may run 2 % slow. */
export const slowestClockRate = 0.98;

/** Added to the end of a lease before its tasks count as gone: covers one timer and scheduling delay. */
export const leaseSlackMs = 100;

/** Longest time that a worker holds back an answer about its tasks; an eighth of the lease, so that several lost calls cost no task. */
export const reportWaitMs = 600;

/** Pause before the next report from a worker whose ends cannot be stored; a seventh of the lease. */
export const unstoredReportPauseMs = 700;

/** Pause before the next report from a worker that did not answer; a lost answer is made up for soon. */
export const failedReportPauseMs = 150;

/** The same pause while a former owner's tasks may run on the worker unseen, since jobs wait for the answer. */
export const unresolvedReportPauseMs = 50;

/** Shortest time between two writes of progress: groups the ends of some tens of milliseconds into one store call. */
export const commitIntervalMs = 40;

/** Pause after a write of progress that failed; the store answers in milliseconds when it is well. */
export const commitRetryMs = 250;

/** Starts of one run that may go unanswered before the run is given up; a start is answered within some milliseconds. */
export const startAttempts = 3;

/** Pause before an unanswered order is repeated. */
export const orderRetryMs = 300;

/** Failures in a row after which a worker is avoided; one may be due to the task. */
export const failureStreak = 2;

/** Age of the last sign of life from which a worker is a second choice; healthy ones write into the store every 1.5 s. */
export const quietWorkerMs = 2500;

/** First and longest time that a failing worker is avoided; doubles with each further failure. */
export const avoidBaseMs = 1000;
export const avoidLimitMs = 8000;

/** Time without progress after which a task counts as stalled; reports arrive at least once a second. */
export const stallMs = 3000;

/** Time within which a task that lasts has to be at work; the platform calls its start-up short. */
export const serviceStartupMs = 4000;

/** Pause before a task that failed is started again; lets the report of other failures arrive first. */
export const restartPauseMs = 50;

/** Placements that may fail in a row before a pass over a service ends; bounds the pass when the service is full. */
export const placementMisses = 12;

/** Interval between two summaries of the queues; callers may see counts up to 2 s old. */
export const summaryIntervalMs = 1000;

/** Orders of a former owner about instances may still arrive for this long after a takeover; the platform answers within some milliseconds. */
export const takeoverSettlingMs = 700;

/** Interval between two readings of the list of instances while an upkeep or a move is under way. */
export const instanceListIntervalMs = 500;

/** Interval between two readings of the list of instances otherwise. */
export const idleInstanceListIntervalMs = 5000;

/** Part of a wave's time after which instances are emptied by stopping tasks instead of waiting for their end. */
export const upkeepPatience = 0.75;

/** Part of the target response time from which fillers are slowed down, and below which they speed up again. */
export const slowdownPart = 0.85;
export const speedupPart = 0.5;

/** Step by which fillers speed up, in percent, and the pause between two changes; their effect shows after half a second. */
export const speedupPercent = 20;
export const speedChangeIntervalMs = 800;

/** Instances whose tasks are asked about in one call for tickets; the platform allows 100, each costs time. */
export const ticketCandidates = 30;

/** Time for which ended jobs and lives of workers are remembered; no reading of the store is under way for longer. */
export const endedMemoryMs = 60_000;
