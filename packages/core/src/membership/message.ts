/**
 * Messages between members. Every message carries the sender's configuration revision.
 */
import {z} from 'zod';
import {entrySchema} from '../catalogue/document-schema.js';
import {maximumRelayed} from '../constants.js';

const countSchema = z.int().min(0);

/** Demand of one team in one pool at one member. */
export const demandSchema = z.strictObject({
	running: countSchema,
	queued: countSchema,
	/** Running and waiting urgent tasks, which are part of the other counts. */
	urgent: countSchema.optional(),
});

const memberSchema = z.string().min(1).max(128);

/**
 * What a relay knows of another member: its identifier, sequence and revision, the greatest possible
 * age of the digest, and the age of the member's store contact when it sent its summary, -1 for none.
 * A tuple keeps field names, repeated in each summary, out of the control traffic.
 */
export const digestSchema = z.tuple([memberSchema, countSchema, countSchema, countSchema, z.int().min(-1)]);

/** State of one member, sent to its neighbours at an interval. */
export const summarySchema = z.strictObject({
	type: z.literal('summary'),
	member: memberSchema,
	zone: z.string().min(1).max(64),
	/** Increases with each summary of a member; receivers ignore older ones. */
	sequence: countSchema,
	revision: countSchema,
	/** Time since the member last confirmed its configuration at the store; absent when it never did. */
	storeContactAgeMs: z.number().min(0).optional(),
	/** Demand by pool and team. */
	demand: z.record(z.string(), z.record(z.string(), demandSchema)),
	/** The receiver's last summary that the sender has seen, and how long ago; it bounds the age of this message on the receiver's clock. */
	echo: z.strictObject({sequence: countSchema, heldMs: z.number().min(0)}).optional(),
	/** Digests of members that are not neighbours of the receiver. */
	relayed: z.array(digestSchema).max(maximumRelayed).optional(),
});

/** Sent at once when a member's revision has grown; the next summary follows at its interval. */
export const announcementSchema = z.strictObject({
	type: z.literal('announcement'),
	member: memberSchema,
	revision: countSchema,
});

/** Asks for the entries that changed since a revision. */
export const catalogueRequestSchema = z.strictObject({
	type: z.literal('catalogue-request'),
	member: memberSchema,
	/** Revision of the sender; the response holds what is newer. */
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

/** A member that shuts down. */
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
