/**
 * Shared constants. The names of durations and sizes end in the unit.
 */

export const millisecondsPerSecond = 1000;

/** Interval between two `tick` events. */
export const tickIntervalMs = 100;

/** Time to live of a task lease at a worker. A worker stops the tasks of a holder that does not renew its lease. */
export const taskLeaseTtlMs = 6000;

/** Time to live of a member's lease in the store. */
export const memberLeaseTtlMs = 6000;

/** Safety margin for the drift between two clocks over one lease. */
export const clockDriftMarginMs = 500;

/** Maximum age of the last confirmation of the configuration at which a process may start work. */
export const freshnessLimitMs = 2000;

/** Interval between two summaries that a member sends. */
export const summaryIntervalMs = 250;

/** Age after which a member's summary is ignored. */
export const summaryRetentionMs = 3000;

/** Deadline of a request when neither the caller nor the queue sets one. */
export const defaultDeadlineMs = 30_000;

/** Largest request body that a queue may allow. */
export const maximumBodyBytes = 8 * 1024 * 1024;

/** Queued requests of a team per pool and process when the team sets no limit; further ones are refused. */
export const defaultQueuedPerTeam = 1000;

/** Interval at which a process reads the catalogue head to confirm its configuration. */
export const confirmationIntervalMs = 500;

/** Maximum rate at which all members together read the catalogue head; the store handles about 2,000 reads a second. */
export const maximumConfirmationsPerSecond = 400;

/** Age of a member's last store contact from which it reports a store outage; shorter than the freshness limit, so that members can confirm the outage before the limit passes. */
export const storeOutageThresholdMs = 1000;

/** Initial and maximum range of the exponential backoff, with jitter, after a failed store call. */
export const storeBackoffBaseMs = 200;
export const maximumStoreBackoffMs = 2000;

/** Maximum jitter before a member corrects the store, per known member and in all; keeps members from correcting it at the same time. */
export const correctionJitterPerMemberMs = 50;
export const maximumCorrectionJitterMs = 500;

/** Time-out of an edit, after which it is answered as unavailable or with an unknown outcome. */
export const editTimeoutMs = 10_000;

/** Maximum number of entries that one correction restores, of those that it adopts, and of those that it rejects; a restored or rejected one takes up to two writes, and etcd refuses transactions of more than 128 operations. */
export const maximumCorrectedEntries = 50;

/** Maximum number of members that a member sends its summary to. */
export const maximumNeighbours = 8;

/** Maximum number of digests of other members that a summary relays. */
export const maximumRelayedDigests = 3;

/** Interval between two summaries of a member in fleets too large for every member to be a neighbour. */
export const largeFleetSummaryIntervalMs = 1000;

/** Interval at which the shares of a pool are recomputed; a tenth of the interval of the summaries that they depend on. */
export const shareRefreshMs = 25;

/** Time over which a team's credit or debt of slot time is compensated to reach its share. */
export const creditHorizonMs = 1000;

/** Maximum debt of a team, in slot time per slot of its share; a longer debt would outlast the 10 s fairness window. */
export const maximumDebtMs = 5000;

/** Fraction of a pool's slots reserved for urgent tasks, which bulk tasks may not use. */
export const urgentReserveFraction = 1 / 32;

/** Time after which waiting bulk or standard work of a team counts as starved, when none of it has started in this process. */
export const starvationMs = 10_000;

/** Initial estimate of the run time, by class, until the first observation of a queue. */
export const initialRunTimeMs = {urgent: 100, standard: 500, bulk: 5000} as const;

/** Weight of the newest observation in the exponential moving average of the run time. */
export const runTimeWeight = 0.1;

/** Minimum number of observations of a queue before its estimated run time is used to refuse requests. */
export const minimumObservations = 20;

/** Time over which a team's debt is spread to compute the tasks to checkpoint; with shorter times, tasks of a few seconds are checkpointed twice. */
export const preemptionDebtHorizonMs = 5000;

/** Minimum run time before a task is checkpointed, so that it makes progress after each resumption. */
export const preemptionQuantumMs = 500;

/** Time after which a checkpoint or throttle that had no effect is requested again. */
export const preemptionRetryMs = 1000;

/** Duration for which a bulk attempt is throttled. */
export const throttleDurationMs = 1000;

/** Wait of an urgent task after which bulk tasks are preempted; leaves most of the target of 1 s for the checkpoint itself. */
export const urgentPreemptionDelayMs = 100;

/** Backoff before a checkpointed task is resumed again after its worker had no free slot. */
export const resumeBackoffMs = 50;

/** Number of partitions of idempotency claims, and of buckets (store keys) in each. A claim rewrites its whole bucket, so small buckets keep writes small. */
export const claimPartitions = 64;
export const claimBucketsPerPartition = 64;

/** Retention time of a claim after the deadline of its request. */
export const claimRetentionMs = 3_600_000;

/** Minimum interval between two claim writes of one process; 8 processes then make at most 160 of the several hundred writes a second that the store handles. */
export const claimWriteIntervalMs = 50;

/** Time-out of a request that waits for its claim. A claim needs up to three store calls: the one in flight and two more, which take 4.5 s if the store answers in 1.5 s. */
export const claimTimeoutMs = 5000;

/** Minimum interval between claim writes that no request waits for, which batches the endings of requests. */
export const claimCompletionIntervalMs = 500;

/** Interval at which claim writes that no request waits for are retried while the store is unavailable. */
export const claimRetryIntervalMs = 1000;

/** Maximum number of buckets in one claim transaction, with a comparison, a write and a read for each; etcd accepts 128 operations by default. */
export const maximumClaimBucketsPerWrite = 32;

/** Maximum number of claims in one bucket; a full bucket with recorded answers stays under the store's limit of 1 MB per value. */
export const maximumClaimsPerBucket = 512;

/** Maximum number of pending claim updates in one process. */
export const maximumPendingClaims = 4000;

/** Maximum number of buckets whose last known content a process caches, to avoid a read before each write. */
export const maximumCachedClaimBuckets = 512;

/** Maximum length of an answer, in base64 characters, that is recorded in the store with its claim. */
export const maximumRecordedAnswerCharacters = 512;

/** Maximum length of one answer, and of all answers together, that a process caches for duplicate submissions, in base64 characters. */
export const maximumCachedAnswerCharacters = 262_144;
export const maximumAnswerCacheCharacters = 8 * 1024 * 1024;

/** Minimum number of workers of a pool that one process sends to in its own availability zone, and, likewise, in all others together. */
export const minimumSubsetWorkers = 32;

/** Minimum number of processes whose subset contains each worker. */
export const subsetRedundancy = 2;

/** Maximum number of workers that one choice scans when neither of two random ones has a free slot. */
export const maximumScannedWorkers = 64;

/** Time for which a worker that refused a task because its slots were full is chosen only after all others. */
export const fullWorkerBackoffMs = 50;

/** Minimum interval between two tasks sent to a worker known to be full; without it, a full pool would be retried in a tight loop. */
export const fullWorkerRetryIntervalMs = 5;

/** Age after which a usage report is ignored. */
export const usageRetentionMs = 3000;

/** Time for which a worker that refused work because it is leaving is treated as leaving, unless the instance list confirms it. */
export const leavingRetentionMs = 10_000;

/** Weight of the newest outcome in the exponential moving average of a worker's failure rate; 0.1 averages over about 20 outcomes. */
export const failureRateWeight = 0.1;

/** Failure rate at which a worker is ejected. With the weight above, the rate of a worker stays more than 4 standard deviations below it when 30 % of all attempts in the fleet fail at random. */
export const ejectionFailureRate = 0.75;

/** Maximum fraction of the workers of a pool that may be ejected at the same time. */
export const maximumEjectedFraction = 0.25;

/** Time until an ejected worker is first probed; doubles with each consecutive ejection up to the maximum. */
export const initialEjectionMs = 5000;
export const maximumEjectionMs = 60_000;

/** Number of successful probes after which an ejected worker is readmitted, and duration of the slow start over which it gets back all its slots. */
export const readmissionProbes = 3;
export const workerRampUpMs = 10_000;

/** Retry budget of a pool (token bucket): tokens that a successful request adds, initial tokens, and capacity. A retry takes one token. */
export const retryTokensPerSuccess = 0.1;
export const initialRetryTokens = 1;
export const maximumRetryTokens = 20;

/** Initial and maximum backoff of a retry; jitter shortens each by up to half. */
export const retryBackoffMs = 50;
export const maximumRetryBackoffMs = 2000;

/** Maximum number of attempts of one task that may have run, and of attempts that workers refused before running. */
export const maximumAttempts = 3;
export const maximumUnstartedAttempts = 10;

/** Number of consecutive failures, and of distinct workers (fewer in smaller pools), after which a job is parked. With 30 % random failures, 6 in a row have a probability below 0.1 %. */
export const parkingFailures = 6;
export const parkingWorkers = 3;

/** Time window in which the failures of a job are counted, and time for which it stays parked. */
export const parkingWindowMs = 60_000;
export const parkingDurationMs = 60_000;

/** Time after its deadline for which an attempt that may not be repeated keeps its connection and slot. */
export const abandonedAttemptTimeoutMs = 30_000;

/** Number of workers whose usage is read per round, and interval between rounds; 40 workers are read within 1.25 s. */
export const usageReadsPerRound = 8;
export const usageReadIntervalMs = 250;

/** Maximum number of failing jobs that one process tracks. */
export const maximumRememberedFailures = 1000;

/** Grace period for task starts that are in flight to a worker when the lease of their holder expires. */
export const reclaimGraceMs = 2000;

/** Time between the detection that a holder is absent and the reclaim of its portions; its last task lease has expired by then. */
export const reclaimDelayMs = taskLeaseTtlMs + reclaimGraceMs + clockDriftMarginMs;

/** Minimum average interval between two store calls for portions by one process; at 250 ms, reads leave too few calls for writes. */
export const portionCallIntervalMs = 150;

/** Maximum rate of store calls for portions by all processes together, a third of what a store with several hundred writes a second handles. */
export const portionCallsPerSecond = 200;

/** Burst size of the store calls for portions by one process. */
export const portionCallBurst = 4;

/** Time after which a store call for portions is treated as lost; longer than the time-out of the store client. */
export const portionCallTimeoutMs = 5000;

/** Maximum number of portion records in one store call, with a comparison, a write and a read for each that is written; etcd accepts 128 operations in a transaction. */
export const portionBatchSize = 48;

/** Backoff after a failed store call for portions, before jitter. */
export const portionRetryBackoffMs = 500;

/** Polling interval of a portion record in use without unmet demand. */
export const portionPollIntervalMs = 1000;

/** Minimum polling interval of a record in use, per team of the process, which limits the rate of its reads. */
export const portionPollIntervalPerTeamMs = 40;

/** Polling interval of a portion record with unmet demand. */
export const unmetDemandPollIntervalMs = 250;

/** Time after which a holder returns an idle portion, without and with demand of another holder. */
export const idlePortionRetentionMs = 10_000;
export const contendedPortionRetentionMs = 100;

/** Time-out for the return of portions in a graceful shutdown; portions that are not returned are reclaimed later. */
export const portionReturnTimeoutMs = 3000;

/** Time constant of the moving average of a holder's demand. */
export const demandAverageMs = 1000;

/** Fraction of a limit below which its free part counts as scarce; store calls for single requests are then spaced out. */
export const nearLimitFraction = 0.25;

/** Time that a new process waits for a message from a recorded member before it relies on the store alone; longer than the store backoff of the other members. */
export const bootstrapTimeoutMs = 5000;

/** Minimum interval between two announcements to a member whose summaries show a lower revision. */
export const announcementIntervalMs = 1000;

/** Interval between two listings of the member records; bounds how long a watch that has stopped silently goes unnoticed. */
export const memberListingIntervalMs = 30_000;

/** Time for which a process remembers that a member's record is absent; far longer than the reclaim of its portions takes. */
export const absenceRetentionMs = 3_600_000;

/** Allowance for the wait of a checkpointed task, which must fit before its deadline together with another run; most tasks resume within a few seconds. */
export const checkpointWaitAllowanceMs = 4000;

/** Maximum debt, in slots, that counts against a team's urgent work; a larger debt from bulk work would delay its urgent work for seconds. */
export const maximumUrgentDebtSlots = 0.25;
