/**
 * Keys of the scheduler in the store. docs/design/platform.md lists who writes each of them under which condition.
 */

const root = 'rosemaryquay/';

/** Prefix of all keys of jobs. */
export const jobsPrefix = `${root}jobs/`;

/** Identity of the process that owns the schedule, bound to its lease. */
export const ownerKey = `${root}owner`;

/** Number of the latest term of ownership; unlike the owner key, it outlives the lease. */
export const termKey = `${root}term`;

/** Holders: workers that an owner may have given tasks to. */
export const holdersKey = `${root}holders`;

/** Compare-and-swap guard of progress: every write replaces this key, so an older write that the store executes late fails its condition. */
export const progressGuardKey = `${root}journal`;

/** Number of waiting jobs, by queue. */
export const summaryKey = `${root}summary`;

/** Prefix of the lists of instances whose maintenance is finished, one for each wave. */
export const wavesPrefix = `${root}waves/`;

/** Parts of a stored job; each part is an entry of its own. */
export const jobParts = ['accepted', 'cancelled', 'progress', 'end'] as const;
export type JobPart = (typeof jobParts)[number];
