import {z} from 'zod';

/** Stored form of the bursts of all pools. Times are times of day in milliseconds, the height of a burst is in thousandths of a core. */
export const storedBurstsSchema = z.object({
	/** Name, whether the burst was under way, its start, its end and its height. */
	pools: z.array(z.tuple([z.string(), z.boolean(), z.number(), z.number(), z.number().min(0)])),
	intervals: z.array(z.number().min(0)),
	lastStartedAt: z.number(),
	streak: z.int(),
});

export type StoredBursts = z.infer<typeof storedBurstsSchema>;
