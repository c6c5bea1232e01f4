/**
 * Messages between members. Every message carries the sender's configuration revision.
 */
import {z} from 'zod';

const countSchema = z.int().min(0);

/** Demand of one team in one pool at one member. */
export const demandSchema = z.strictObject({
	running: countSchema,
	queued: countSchema,
	/** Running and waiting urgent tasks, which are part of the other counts. */
	urgent: countSchema.optional(),
});

/** State of one member, sent to its neighbours at an interval. */
export const summarySchema = z.strictObject({
	type: z.literal('summary'),
	member: z.string().min(1).max(128),
	zone: z.string().min(1).max(64),
	/** Increases with each summary of a member; receivers ignore older ones. */
	sequence: countSchema,
	revision: countSchema,
	/** Time since the member last confirmed its configuration at the store; absent when it never did. */
	storeContactAgeMs: z.number().min(0).optional(),
	/** Demand by pool and team. */
	demand: z.record(z.string(), z.record(z.string(), demandSchema)),
});

/** A member that shuts down. */
export const leavingSchema = z.strictObject({
	type: z.literal('leaving'),
	member: z.string().min(1).max(128),
	revision: countSchema,
});

export const messageSchema = z.discriminatedUnion('type', [summarySchema, leavingSchema]);

export type Demand = z.infer<typeof demandSchema>;
export type Summary = z.infer<typeof summarySchema>;
export type Message = z.infer<typeof messageSchema>;
export type MessageOf<Type extends Message['type']> = Extract<Message, {type: Type}>;
