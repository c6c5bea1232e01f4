import {z} from 'zod';

/** A job with at least this much work waits at least this long, both in the best case. */
const waitSchema = z.object({
	/** Thousandths of a core times milliseconds. */
	work: z.number().min(0),
	/** Wait until the job starts, as long as it can meet its objective. */
	waitMs: z.number().min(0),
	/** Wait of a job that becomes late before it starts, so that late jobs with less work go first as well. */
	lateWaitMs: z.number().min(0),
});

/** Admission to an overloaded queue. The waits are in ascending order of `work`. */
const queueAdmissionSchema = z.object({
	/** Most cores that are free on one worker of the service, in thousandths. */
	freeCpuMillis: z.number().min(0),
	/** Cores of the service, in thousandths, including those that it will get from moves and the spare pool. */
	capacityCpuMillis: z.number().positive(),
	waits: z.array(waitSchema),
	/** Waits of organisations beyond their share. */
	organisations: z.record(z.string(), z.array(waitSchema)),
});

/** What the owner of the schedule publishes while at least one queue is overloaded. */
export const admissionRecordSchema = z.object({
	publishedAtMs: z.number(),
	/** Term of the owner. */
	term: z.number(),
	/** Overloaded queues by name. */
	queues: z.record(z.string(), queueAdmissionSchema),
});

export type Wait = z.infer<typeof waitSchema>;
export type QueueAdmission = z.infer<typeof queueAdmissionSchema>;
export type AdmissionRecord = z.infer<typeof admissionRecordSchema>;
