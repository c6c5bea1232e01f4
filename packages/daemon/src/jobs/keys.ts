/**
 * Keys of the scheduler in the store. docs/design/platform.md lists who writes each of them under which condition.
 */

const root = 'rosemaryquay/';

/** Prefix of all keys of jobs. */
export const jobsPrefix = `${root}jobs/`;

/** Identity of the process that owns the schedule; the entry is bound to the lease of that process. */
export const ownerKey = `${root}owner`;

/** Number of the latest term of ownership; unlike the owner key, it outlives the lease. */
export const termKey = `${root}term`;

/** Holders: workers that may run tasks started by this or an earlier owner. A new owner reads the list at its takeover. */
export const holdersKey = `${root}holders`;

/** Compare-and-swap guard of commits: every commit replaces this key, so an older commit that the store executes late fails its condition. */
export const commitGuardKey = `${root}journal`;

/** Number of jobs that have not begun, by queue; published by the owner at intervals. */
export const summaryKey = `${root}summary`;

/** Prefix of the lists of instances whose maintenance is finished, one for each wave; the waves themselves are stored by the operators. */
export const wavesPrefix = `${root}waves/`;

/**
 * Parts of a stored job; each part is an entry of its own. `accepted` contains the job as submitted, `cancelled` marks its
 * cancellation, `progress` contains its done tasks and its failures, and `end` contains its final state.
 */
export const jobParts = ['accepted', 'cancelled', 'progress', 'end'] as const;
export type JobPart = (typeof jobParts)[number];
