import {z} from 'zod';

/** Wait of the new jobs of an organisation in the best case, less the greatest age at which a record counts. */
const organisationWaitSchema = z.object({
	name: z.string(),
	waitMs: z.number().positive(),
	/** The organisation uses more than its weighted share of the service. */
	isBeyondShare: z.boolean(),
});

/** An overloaded queue. Organisations that are not listed don't wait. */
const queueWaitsSchema = z.object({
	name: z.string(),
	/** Most cores that are free on one worker of the service, in thousandths. */
	freeCpuMillis: z.number().min(0),
	/** Cores of the service, in thousandths, with those that it may get from moves and the spare pool. */
	capacityCpuMillis: z.number().positive(),
	organisations: z.array(organisationWaitSchema),
});

/** What the owner of the schedule publishes about overloaded queues; empty while there are none. */
export const admissionRecordSchema = z.object({
	publishedAtMs: z.number(),
	/** Term of the owner. */
	term: z.number(),
	queues: z.array(queueWaitsSchema),
});

export type OrganisationWait = z.infer<typeof organisationWaitSchema>;
export type QueueWaits = z.infer<typeof queueWaitsSchema>;
export type AdmissionRecord = z.infer<typeof admissionRecordSchema>;
