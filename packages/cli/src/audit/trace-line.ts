/**
 * Lines of an audit trace, as the daemons log them. The audit shares no code with the decisions:
 * it knows only these lines.
 */
import {z} from 'zod';

const at = z.number();

export const traceLineSchema = z.discriminatedUnion('event', [
	z.object({
		event: z.literal('trace-configuration'),
		name: z.string(),
		at,
		revision: z.number(),
		limits: z.record(z.string(), z.number()),
		/** Pairs of a key's hash prefix and its team. */
		keys: z.array(z.tuple([z.string(), z.string()])),
		withdrawn: z.array(z.string()),
	}),
	z.object({
		event: z.literal('trace-admitted'), name: z.string(), at, requestId: z.string(), key: z.string().optional(),
	}),
	z.object({
		event: z.literal('trace-started'),
		name: z.string(),
		at,
		attemptId: z.string(),
		requestId: z.string(),
		workerId: z.string(),
		zone: z.string().optional(),
		team: z.string(),
		repeatable: z.boolean(),
		idempotencyKey: z.string().optional(),
	}),
	z.object({
		event: z.literal('trace-ended'), name: z.string(), at, attemptId: z.string(), requestId: z.string(), outcome: z.string(),
	}),
	z.object({
		event: z.literal('trace-refused'), name: z.string(), at, requestId: z.string(), reason: z.string(), execution: z.string(),
	}),
	z.object({
		event: z.literal('trace-answered'), name: z.string(), at, requestId: z.string(), attemptId: z.string(),
	}),
]);

export type TraceLine = z.infer<typeof traceLineSchema>;
export type TraceLineOf<Event extends TraceLine['event']> = Extract<TraceLine, {event: Event}>;

/** A promise that the trace shows to be broken. */
export type Violation = {
	readonly promise: string;
	readonly at: number;
	readonly detail: string;
};
