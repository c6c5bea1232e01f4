/**
 * Schemas of the catalogue documents in the store.
 */
import {z} from 'zod';

/** Request identifiers of earlier edits kept in an entry, so that a lost answer can be resolved even after the entry was edited again. */
export const maximumEarlierRequestIds = 4;

const revisionSchema = z.int().min(1);
const requestIdSchema = z.string().min(1).max(128);

export const entrySchema = z.strictObject({
	revision: revisionSchema,
	requestId: requestIdSchema,
	operator: z.string().max(200),
	earlier: z.array(requestIdSchema).max(maximumEarlierRequestIds).default([]),
	value: z.unknown(),
});

export const headSchema = z.strictObject({revision: revisionSchema, requestId: requestIdSchema});
