/** Lease on the tasks of a worker; long enough for the expiry of the owner's store lease, a takeover and two renewals. */
export const taskLeaseMs = 3200;

/** Longest lease that workers accept; they shorten a longer one. The platform's settings name another value. */
export const longestTaskLeaseMs = 10_000;

/** Rate of the slowest worker clock; the platform allows clocks to run 2 % slow. */
export const slowestClockRate = 0.98;

/** Margin after the expiry of a lease before its tasks count as ended; covers a timer and scheduling delay. */
export const leaseSlackMs = 100;

/** Longest time after which a call without an answer is still carried out, as the platform delays them. */
export const lateCallMs = 12_000;

/** Longest time for which a call waits at a worker that is down while the store shows nothing of it: the entry is removed after three heartbeat intervals of silence. */
export const unseenRestartMs = 4500;

/** Time for which an entry that is missing in the store may come back, as entries do within about two seconds of the end of an outage; later the worker is gone. */
export const entryReturnMs = 2500;

/** Longest time for which a worker may hold a report request open; less than a fifth of the lease, so that several lost calls do not let it expire. */
export const reportWaitMs = 600;

/** Longest wait for task ends to be stored before the worker is asked for its next report anyway, which renews its lease; about a fifth of the lease. */
export const uncommittedReportDelayMs = 700;

/** Longest wait for the answers to start orders before a worker whose ends could not be acknowledged beside them is asked for its next report; orders are normally answered within milliseconds. */
export const openOrderWaitMs = 100;

/** Time after an answered report in which the worker counts as the same incarnation; two reports are normally at most half as far apart. */
export const reportLifetimeMs = 1500;

/** Age of a reading of an idle worker's clock from which it is read again; on a slow clock, a lease from an older reading would lose a fifth of its length. */
export const clockReadingLifetimeMs = 30_000;

/** Pause before the next report request to a worker that did not answer; short, so that a lost answer is soon replaced. */
export const reportRetryMs = 150;

/** The same pause while the worker may run tasks of a former owner; shorter, because jobs wait for the answer. */
export const unreconciledReportRetryMs = 50;

/** Most ends in one report; the platform's workers report further ones once these are acknowledged. */
export const maximumReportedEnds = 500;

/** Shortest time between two writes of progress; batches the task ends of some tens of milliseconds into one store call. */
export const commitIntervalMs = 40;

/** Pause after a failed write of progress; a healthy store answers within milliseconds. */
export const commitRetryMs = 250;

/** Orders to start the same run before it is given up as unanswered; an order is normally answered within milliseconds. */
export const maximumStartOrders = 3;

/** Start orders that a new owner may have unanswered at the same time; over a link of 2 Mbit/s, they take less than half of a call's time-out. */
export const initialOrderWindow = 32;

/** Pause before an unanswered order is repeated. */
export const orderRetryMs = 300;

/** Time after a failed run in which its task waits for room on other workers; a job must start within 3 s while there is capacity for it. */
export const failedWorkerAvoidanceMs = 2500;

/** Consecutive failures after which a worker gets no tasks for a time; a single one may be the fault of the task. */
export const failureThreshold = 2;

/** Time since the last answer or heartbeat of a worker after which other workers are preferred; healthy workers write a heartbeat into the store every 1.5 s. */
export const staleWorkerMs = 2500;

/** Initial back-off of a failing worker; doubles with each further failure. */
export const initialBackoffMs = 1000;

/** Maximum back-off of a failing worker. */
export const maximumBackoffMs = 8000;

/** Back-off of a failing worker while its service has no other worker; what can run is to start within 3 s. */
export const soleWorkerBackoffMs = 2000;

/** Time without progress after which a task counts as stalled; reports arrive at least once a second. */
export const stallTimeoutMs = 3000;

/** Time without progress after which a long-running task that has not started up counts as stalled; the platform describes the start-up as short. */
export const longRunningStartupTimeoutMs = 4000;

/** Delay before a failed task is started again, so that reports of other failures arrive first. */
export const restartDelayMs = 50;

/** Failed placements after which no more jobs of a service, or of an organisation at its upper limit, are tried in the same round; bounds the work when the service is full. */
export const maximumPlacementFailures = 12;

/** Multiple of its objective beyond which a late job is of no use to its caller. */
export const lateObjectiveMultiple = 3;

/** Interval between two published summaries of the queues; callers may see counts up to 2 s old. */
export const summaryIntervalMs = 1000;

/** Time after a takeover during which the platform may still carry out instance orders of a former owner; it normally answers within milliseconds. */
export const takeoverSettlingMs = 700;

/** Time after which an order to the service that manages instances is repeated if its outcome is unknown; longer than its call lasts, so that a slow service gets one at a time for each instance. */
export const instanceOrderTimeoutMs = 1700;

/** Interval between two requests for the list of instances while an upkeep or a move is in progress. */
export const instanceListIntervalMs = 500;

/** Interval between two requests for the list of instances otherwise. */
export const idleInstanceListIntervalMs = 5000;

/** Fraction of a wave's duration after which instances are drained by stopping their tasks instead of waiting for them to end. */
export const forcedDrainFraction = 0.75;

/** Fraction of the target response time from which best-effort tasks are slowed down. */
export const slowdownThreshold = 0.85;

/** Fraction of the target response time below which best-effort tasks are sped up. */
export const speedupThreshold = 0.5;

/** Step by which best-effort tasks are sped up. */
export const speedupStepPercent = 20;

/** Shortest time between two changes of the speed of a best-effort task; an effect shows after half a second. */
export const speedChangeIntervalMs = 800;

/** Maximum number of workers in the first request for tickets of a step; each one costs time. */
export const maximumTicketCandidates = 30;

/** The same after a request without tickets; the platform allows no more. */
export const maximumTicketCandidatesAfterRefusal = 100;

/** Time after which a worker without a ticket is asked for again, doubled after each further refusal; the platform describes its decisions as final. */
export const ticketRefusalMs = 10_000;

/** Requests for tickets that are awaited at the same time: the service handles one, and the next one when it has answered. Others wait here, where they can be reordered and dropped. */
export const maximumTicketCalls = 2;

/** Pause after a request for tickets that was not answered or was refused; after refusals in a row it is doubled each time. */
export const ticketRetryMs = 200;

/** Most doublings of a time that depends on failures of the service that issues tickets. */
export const maximumTicketDoublings = 3;

/** Part of the time until a request for tickets is overdue that does not depend on what it asks for: a new connection, and a pause of either process. */
export const ticketLatencyMs = 1000;

/** Workers that are remembered as holders of tickets for a step of a queue, at most as many as one request names. */
export const maximumTicketHolders = 100;

/** Time after the loss of a worker's lease in which its next incarnation shows that it crashed; crashed workers are back within seconds. */
export const crashDetectionMs = 15_000;

/** Time for which a suspected task keeps its worker to itself, for each crash under it; tasks that crash their workers mostly do so at their start. */
export const isolationMs = 2000;

/** Time for which a crash is kept, so that a task that is given up can explain it, in milliseconds. */
export const crashRetentionMs = 60_000;

/** Crashes under a task from which it is suspected although other runs were started on these workers later. */
export const suspicionLimit = 3;

/** Time after the loss of a run in isolation in which the task waits for its worker's next answer, before it is started again; crashed workers are back within seconds. */
export const explanationWaitMs = 3000;

/** Crashes under a task from which it is given up if the last one occurred while it ran in isolation. */
export const crashLimit = 2;

/** The same limit if the last run may not have begun, or may have ended otherwise. */
export const unconfirmedCrashLimit = 4;

/** Runs of a gang with a crash from which it is given up; a gang has no run in isolation. */
export const gangCrashLimit = 3;

/** Time for which the ids of ended jobs are kept; longer than any read of the store takes. */
export const endedRetentionMs = 60_000;

/** Shortest time between two writes of what was learned; a new owner that lacks the last seconds learns them anew. */
export const estimatesIntervalMs = 5000;
