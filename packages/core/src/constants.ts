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
export const claimSettleIntervalMs = 500;

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
export const maximumRecordedAnswerLength = 512;

/** Longest answer, and length of all answers together, that a process keeps for second submissions, in base64 characters. */
export const maximumKeptAnswerLength = 262_144;
export const maximumKeptAnswersLength = 8 * 1024 * 1024;

/** Least number of workers of a pool, in and outside the own availability zone, that one process sends to. */
export const minimumSubsetWorkers = 32;

/** Number of processes that each worker is in the subset of, at least. */
export const subsetRedundancy = 2;

/** Workers that one choice looks at after two random ones had no room. */
export const maximumScannedWorkers = 64;

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
