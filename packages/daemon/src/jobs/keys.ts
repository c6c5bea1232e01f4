/**
 * Keys of the scheduler in the store. docs/design/platform.md lists who writes each of them under which condition.
 */

const root = 'rosemaryquay/';

/** Prefix of the parts of unfinished jobs; the end of a job deletes them, so that a listing grows only with the unfinished work. */
export const jobsPrefix = `${root}jobs/`;

/** Prefix of the payloads of unfinished jobs. They are apart from the other parts, because a new owner needs them only when it starts tasks. */
export const payloadsPrefix = `${root}jobs-payloads/`;

/** Prefix of the records of ended jobs. */
export const endedJobsPrefix = `${root}jobs-ended/`;

/** Prefix of the progress of unfinished jobs: their done tasks and their failures. */
export const progressPrefix = `${root}progress/`;

/** Prefix that the parts, the payloads and the ends of jobs share, for a single watch of all of them. The progress is not below it, because only its writer would watch it. */
export const jobChangesPrefix = `${root}jobs`;

/** Identity of the process that owns the schedule; the entry is bound to the lease of that process. */
export const ownerKey = `${root}owner`;

/** Request to an owner on a small instance to hand the schedule over. It shares the prefix of the owner key, so that one watch covers both. */
export const handoverKey = `${ownerKey}-handover`;

/** Fencing token of the last owner that resigned; written as the owner key is deleted, so that a resignation is told from the expiry of a lease. It shares the prefix of the owner key as well. */
export const resignationKey = `${ownerKey}-resigned`;

/** Number of the latest term of ownership; unlike the owner key, it outlives the lease. */
export const termKey = `${root}term`;

/** Holders: workers that may run tasks started by this or an earlier owner. A new owner reads the list at its takeover. */
export const holdersKey = `${root}holders`;

/** Summary of what the owner has learned of run times and of the speeds of instances; read at a takeover, and ignored if it can't be read. */
export const estimatesKey = `${root}estimates`;

/** Compare-and-swap guard of commits: every commit replaces this key, so an older commit that the store executes late fails its condition. */
export const commitGuardKey = `${root}journal`;

/** Number of jobs that have not begun, by queue; published by the owner at intervals. */
export const summaryKey = `${root}summary`;

/** Admission record: the overloaded queues and the waits of new jobs. It is never deleted, so that its revision never takes the same value twice. */
export const admissionKey = `${root}admission`;

/** View of the schedule for operators; written together with the summary, and only when it has changed. */
export const viewKey = `${root}view`;

/** Prefix of the lists of instances whose maintenance is finished, one for each wave; the waves themselves are stored by the operators. */
export const wavesPrefix = `${root}waves/`;

/**
 * Parts of an unfinished job; each part is an entry of its own. `accepted` contains the job as submitted without its
 * payload, and `cancelled` marks its cancellation.
 */
export const jobParts = ['accepted', 'cancelled'] as const;
export type JobPart = (typeof jobParts)[number];
