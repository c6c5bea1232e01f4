/**
 * Messages between members. Every message carries the sender's configuration revision.
 */
import {z} from 'zod';
import {entrySchema} from '../catalogue/document-schema.js';
import {maximumRelayedDigests} from '../constants.js';

const countSchema = z.int().min(0);

/** Demand of one team in one pool at one member. */
export const demandSchema = z.strictObject({
	running: countSchema,
	queued: countSchema,
	/** Running and queued urgent tasks, which the other counts include. */
	urgent: countSchema.optional(),
});

const memberSchema = z.string().min(1).max(128);

/**
 * Digest of another member's summary, relayed: its identifier, sequence number and revision, the upper
 * bound of the digest's age, and the age of the member's store contact when it sent its summary, -1 for
 * none. Ages are in milliseconds. A tuple saves the traffic of field names repeated in each summary.
 */
export const digestSchema = z.tuple([memberSchema, countSchema, countSchema, countSchema, z.int().min(-1)]);

/** State of one member, sent to its neighbours periodically. */
export const summarySchema = z.strictObject({
	type: z.literal('summary'),
	member: memberSchema,
	zone: z.string().min(1).max(64),
	/** Increases with each summary of a member; receivers ignore older summaries. */
	sequence: countSchema,
	revision: countSchema,
	/** Time since the member last confirmed its configuration with the store; absent when it never did. */
	storeContactAgeMs: z.number().min(0).optional(),
	/** Demand by pool and team. */
	demand: z.record(z.string(), z.record(z.string(), demandSchema)),
	/** Sequence number of the receiver's last summary that the sender received, and the time since then; bounds the age of this message on the receiver's clock. */
	echo: z.strictObject({sequence: countSchema, heldMs: z.number().min(0)}).optional(),
	/** Digests of members that are not neighbours of the receiver. */
	relayed: z.array(digestSchema).max(maximumRelayedDigests).optional(),
});

/** Sent at once when a member's revision has increased, between two summaries. */
export const announcementSchema = z.strictObject({
	type: z.literal('announcement'),
	member: memberSchema,
	revision: countSchema,
});

/** Requests the entries that changed since a revision. */
export const catalogueRequestSchema = z.strictObject({
	type: z.literal('catalogue-request'),
	member: memberSchema,
	/** Revision of the sender; the response contains the newer entries. */
	revision: countSchema,
});

/** The entries that changed since the requested revision. */
export const catalogueResponseSchema = z.strictObject({
	type: z.literal('catalogue-response'),
	member: memberSchema,
	revision: countSchema,
	since: countSchema,
	entries: z.array(entrySchema.extend({path: z.string().max(200)})),
});

/** Sent by a member that shuts down. */
export const leavingSchema = z.strictObject({
	type: z.literal('leaving'),
	member: memberSchema,
	revision: countSchema,
});

export const messageSchema = z.discriminatedUnion('type', [summarySchema, leavingSchema, announcementSchema, catalogueRequestSchema, catalogueResponseSchema]);

export type Demand = z.infer<typeof demandSchema>;
export type Digest = z.infer<typeof digestSchema>;
export type Summary = z.infer<typeof summarySchema>;
export type Message = z.infer<typeof messageSchema>;
export type MessageOf<Type extends Message['type']> = Extract<Message, {type: Type}>;
