import {z} from 'zod';

/** The process that owns the schedule, as stored in the store. */
export const ownerRecordSchema = z.object({
	instance: z.string(),
	/** Differs for each process, also on the same instance. */
	nonce: z.string(),
	/** Size of the instance as a fraction of an ample one; missing in the record of an earlier version, which then counts as ample. */
	sizeFraction: z.number().default(1),
});

export type OwnerRecord = z.infer<typeof ownerRecordSchema>;

/** Request to hand the schedule over to a larger instance. */
export const handoverRequestSchema = z.object({
	/** Instance that asks. */
	instance: z.string(),
	/** Fencing token of the owner that is asked; a request to an earlier owner does not concern later ones. */
	fencingToken: z.number(),
});
