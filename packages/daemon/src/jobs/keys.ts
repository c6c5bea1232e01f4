/**
 * Layout of the system's own part of the store. docs/design/platform.md lists who writes what under which condition.
 */

const root = 'rosemaryquay/';

/** All keys of jobs. */
export const jobsPrefix = `${root}jobs/`;

/** Name of the owner of the schedule, under the owner's lease. */
export const ownerKey = `${root}owner`;

/** Number of the last ownership; survives its lease. */
export const termKey = `${root}term`;

/** Workers that an owner may have given tasks to. */
export const holdersKey = `${root}holders`;

/** Replaced by every write of progress, so that an older write that the store carries out late finds its condition broken. */
export const journalKey = `${root}journal`;

/** Counts of jobs that wait, by queue. */
export const summaryKey = `${root}summary`;

/** Instances of each wave whose upkeep is finished. */
export const wavesPrefix = `${root}waves/`;

/** Parts of a stored job. */
export const jobParts = ['accepted', 'cancelled', 'progress', 'end'] as const;
export type JobPart = (typeof jobParts)[number];
