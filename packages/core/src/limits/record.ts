/**
 * The record `<prefix>limits/<team>` in the store. It is changed only by compare-and-swap and never
 * deleted, so that its modification revision only increases.
 */
import {z} from 'zod';

const countSchema = z.int().min(0);

/** The part of a team's upper limit that one holder may use. */
export const portionSchema = z.strictObject({
	count: countSchema,
	/** Slots that the holder wants; more than `count` asks the other holders to release some. */
	wanted: countSchema,
	/** Number of the holder's last write; shows whether a write with an unknown outcome took effect. */
	write: countSchema,
	/** Registration of the holder under which it may use the portion. */
	registration: z.string().max(128),
});

export const recordSchema = z.strictObject({
	limit: countSchema,
	/** Revision of the catalogue that the limit comes from. */
	revision: countSchema,
	portions: z.record(z.string(), portionSchema),
});

export type Portion = z.infer<typeof portionSchema>;
export type LimitRecord = z.infer<typeof recordSchema>;
