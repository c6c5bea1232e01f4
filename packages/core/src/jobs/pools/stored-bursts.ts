import {z} from 'zod';

/** Stored form of the bursts of all pools. Times are times of day in milliseconds, the height of a burst is in thousandths of a core. */
export const storedBurstsSchema = z.object({
	/** Name, whether the burst was under way, its start, its end, its highest demand, its height and its first step. */
	pools: z.array(z.tuple([z.string(), z.boolean(), z.number(), z.number(), z.number().min(0), z.number().min(0), z.number().min(0)])),
	/** Name, critical path, slack, work, arrivals outside of bursts, and the time in which they came. */
	profiles: z.array(z.tuple([z.string(), z.number().min(0), z.number(), z.number().min(0), z.number().min(0), z.number().min(0)])),
	intervals: z.array(z.number().min(0)),
	lastStartedAt: z.number(),
	streak: z.int(),
});

export type StoredBursts = z.infer<typeof storedBurstsSchema>;
