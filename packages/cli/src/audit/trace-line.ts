/**
 * Lines of the audit trace that daemons write to their logs. The audit reads only these lines and shares no code with the
 * daemon, so that a defect in the daemon cannot also hide in the audit. `name` is the name of the instance that wrote the line.
 */
import {z} from 'zod';

/** Wall-clock time in milliseconds since the epoch. */
const at = z.number();

export const traceLineSchema = z.discriminatedUnion('event', [
	z.object({
		event: z.literal('trace-configuration'),
		name: z.string(),
		at,
		revision: z.number(),
		/** Upper limit of running attempts for each team. */
		limits: z.record(z.string(), z.number()),
		/** Pairs of the prefix of a key's hash and the team that holds the key. */
		keys: z.array(z.tuple([z.string(), z.string()])),
		/** Availability zones that are withdrawn. */
		withdrawn: z.array(z.string()),
	}),
	/** `key` is the prefix of the hash of the key that the request came with, as in `keys` above. */
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

/** A guarantee of the system (a promise) that a trace shows to be broken. */
export type Violation = {
	/**
	 * Number of the promise; the audit checks no others:
	 * - P3: a revoked key is not admitted after the propagation limit
	 * - P4: a team has no more attempts running than its upper limit allows; within the propagation limit of a change, the higher of both limits counts
	 * - P5: no attempt starts in a withdrawn availability zone after the propagation limit
	 * - P6: a request is answered at most once
	 * - P7: a request that is refused as not run has not run
	 * - P8: a request that is not repeatable is not started again after it may have run, nor a second one under its idempotency key
	 * - P11: an instance never goes back to a lower revision
	 */
	readonly promise: string;
	/** Wall-clock time in milliseconds since the epoch. */
	readonly at: number;
	readonly detail: string;
};
