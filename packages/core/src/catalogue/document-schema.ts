/**
 * Schemas of the catalogue's documents in the store.
 */
import {z} from 'zod';

/** Request identifiers kept of earlier edits, so that a lost answer can be resolved after the entry was edited again. */
export const maximumEarlier = 4;

const revisionSchema = z.int().min(1);
const requestIdSchema = z.string().min(1).max(128);

export const entrySchema = z.strictObject({
	revision: revisionSchema,
	requestId: requestIdSchema,
	operator: z.string().max(200),
	earlier: z.array(requestIdSchema).max(maximumEarlier).default([]),
	value: z.unknown(),
});

export const headSchema = z.strictObject({revision: revisionSchema, requestId: requestIdSchema});
