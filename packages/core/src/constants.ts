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
export const maximumStoreBackoffMs = 2000;

/** Time over which members spread their attempts to correct the store, for each known member. */
export const correctionJitterPerMemberMs = 50;
export const maximumCorrectionJitterMs = 500;

/** Time that an edit may take before its outcome is reported as it stands. */
export const editTimeoutMs = 10_000;

/** Entries written by one correcting transaction; etcd refuses more than 128 operations. */
export const maximumCorrectedEntries = 50;

/** Members that a member sends its summary to. */
export const maximumNeighbours = 8;

/** Digests of other members that a summary relays. */
export const maximumRelayedDigests = 3;

/** Interval between two summaries in fleets with more members than a member has neighbours. */
export const largeFleetSummaryIntervalMs = 1000;
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
/** Number of partitions of idempotency claims, and of store keys (buckets) in each. A claim rewrites one bucket, so small buckets keep writes small. */
export const claimPartitions = 64;
export const claimBucketsPerPartition = 64;

/** Time that a claim is kept after the deadline of its request. */
export const claimRetentionMs = 3_600_000;

/** Least time between two claim writes of one instance; 8 instances then take at most 160 of the store's several hundred writes a second. */
export const claimWriteIntervalMs = 50;

/** Time after which a request stops waiting for its claim; a store that answers in 1.5 s needs up to three calls, two of them after the one in flight. */
export const claimTimeoutMs = 5000;

/** Interval of claim writes that no request waits for; endings are gathered into few writes. */
export const claimCompletionIntervalMs = 500;

/** Interval of claim writes that no request waits for while the store is unavailable. */
export const claimRetryIntervalMs = 1000;

/** Buckets in one claim transaction; etcd accepts 128 operations by default. */
export const maximumClaimBucketsPerWrite = 32;

/** Claims in one bucket; with recorded answers a full bucket stays under the store's limit of 1 MB a value. */
export const maximumClaimsPerBucket = 512;

/** Claim updates that wait for the store in one process. */
export const maximumPendingClaims = 4000;

/** Buckets whose last seen content a process keeps to avoid reading before writing. */
export const maximumCachedClaimBuckets = 512;

/** Longest answer, in base64 characters, that is recorded in the store with its claim. */
export const maximumRecordedAnswerCharacters = 512;

/** Longest answer, and length of all answers together, that a process keeps for second submissions, in base64 characters. */
export const maximumKeptAnswerLength = 262_144;
export const maximumAnswerCacheCharacters = 8 * 1024 * 1024;

/** Least number of workers of a pool, in and outside the own availability zone, that one process sends to. */
export const minimumSubsetWorkers = 32;

/** Number of processes that each worker is in the subset of, at least. */
export const subsetRedundancy = 2;

/** Workers that one choice looks at after two random ones had no room. */
export const maximumScannedWorkers = 64;

/** Time for which a worker that refused a task for want of a slot comes after all others. */
export const fullRetentionMs = 50;

/** Least time between two tasks that a full worker is asked to take; without it a full pool would be asked in a tight loop. */
export const refusalIntervalMs = 5;

/** Age after which a usage report no longer counts. */
export const usageRetentionMs = 3000;

/** Time that a worker counts as leaving after it said so, unless the instance list confirms it. */
export const leavingRetentionMs = 10_000;

/** Weight of the newest outcome in a worker's failure rate; 0.1 averages over about 20 outcomes. */
export const failureRateWeight = 0.1;

/** Failure rate at which a worker is ejected; with the weight above, a worker of a fleet that fails 30 % at random stays more than 4 standard deviations below. */
export const ejectionFailureRate = 0.75;

/** Largest part of the workers of a pool that may be ejected at once. */
export const maximumEjectedPart = 0.25;

/** Time to the first probe of an ejected worker; doubles with each ejection in a row up to the maximum. */
export const ejectionMs = 5000;
export const maximumEjectionMs = 60_000;

/** Successful probes after which a worker returns, and the time over which it returns to all its slots. */
export const probesToReturn = 3;
export const workerReturnMs = 10_000;

/** Tokens that a successful request adds to the retry budget of its pool, the first content of a budget and its limit; a retry takes one. */
export const retryTokensPerSuccess = 0.1;
export const initialRetryTokens = 1;
export const maximumRetryTokens = 20;

/** First and longest delay of a retry; each is shortened at random by up to half. */
export const retryBackoffMs = 50;
export const maximumRetryBackoffMs = 2000;

/** Attempts of one task that may have run, and attempts that workers refused before running. */
export const maximumAttempts = 3;
export const maximumUnstartedAttempts = 10;

/** Failures in a row, and distinct workers (fewer in smaller pools), after which a job is parked; at 30 % random failures, 6 in a row have a probability below 0.1 %. */
export const parkingFailures = 6;
export const parkingWorkers = 3;

/** Time over which the failures of a job count, and time that it stays parked. */
export const parkingWindowMs = 60_000;
export const parkingMs = 60_000;

/** Time past its deadline for which an attempt that may not be repeated keeps its connection and slot. */
export const abandonedAttemptMs = 30_000;

/** Workers whose usage is read in one round, and the interval of rounds; 40 workers are read within 1.25 s. */
export const usageReadsPerRound = 8;
export const usageReadIntervalMs = 250;

/** Failing jobs that one process remembers. */
export const maximumRememberedFailures = 1000;
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

/** Time that a new process waits to hear from a recorded member before it relies on the store alone; longer than the store backoff of the others. */
export const bootstrapTimeoutMs = 5000;

/** Interval between two announcements to a member that shows a lower revision. */
export const announcementIntervalMs = 1000;

/** Interval between two listings of the member records; it bounds the effect of a watch that has stopped without an end. */
export const memberListingIntervalMs = 30_000;

/** Time for which the absence of a member's record is remembered; far longer than the reclaim of its portions takes. */
export const absenceRetentionMs = 3_600_000;

/** Wait that a checkpointed task must have room for before its deadline; most resume within a few seconds. */
export const checkpointWaitMs = 4000;

/** Most slots by which a team's debt holds back its urgent work; larger debts of bulk work delayed urgent work for seconds. */
export const urgentDebt = 0.25;
