import {z} from 'zod';

const submittedStepSchema = z.object({
	count: z.number(), cpuMillis: z.number(), estimatedMs: z.number(), after: z.array(z.number()), allowDuplicates: z.boolean(), longRunning: z.boolean().default(false),
});

/**
 * What can be seen of the programs from outside: one event a line, in the file of the process that saw it.
 * `at` is in milliseconds since 1970 on the clock that all processes of a machine share.
 */
export const fleetEventSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('worker-listed'), at: z.number(), worker: z.string(), hadExpired: z.boolean(),
	}),
	z.object({
		type: z.literal('worker-started'), at: z.number(), worker: z.string(), cpuMillis: z.number(),
	}),
	z.object({type: z.literal('worker-crashed'), at: z.number(), worker: z.string()}),
	z.object({
		type: z.literal('ordered'), at: z.number(), worker: z.string(), path: z.string(), fence: z.number(), status: z.number(),
	}),
	z.object({
		type: z.literal('started'), at: z.number(), worker: z.string(), task: z.string(), run: z.number(),
	}),
	z.object({
		type: z.literal('ended'), at: z.number(), worker: z.string(), task: z.string(), run: z.number(), end: z.string(),
	}),
	z.object({
		type: z.literal('confirmed'), at: z.number(), worker: z.string(), task: z.string(), run: z.number(), end: z.string(),
	}),
	z.object({
		type: z.literal('submitted'), at: z.number(), job: z.string(), organisation: z.string(), steps: z.array(submittedStepSchema),
	}),
	z.object({
		type: z.literal('answered'), at: z.number(), sentAt: z.number(), method: z.enum(['submit', 'read', 'cancel']), job: z.string(), key: z.string(), status: z.number(), state: z.string(),
	}),
	z.object({
		type: z.literal('limited'), at: z.number(), organisation: z.string(), cpuMillis: z.number(),
	}),
	z.object({
		type: z.literal('key-changed'), at: z.number(), key: z.string(), isValid: z.boolean(),
	}),
	z.object({
		type: z.literal('fault-begun'), at: z.number(), fault: z.number(), kind: z.string(), target: z.string(),
	}),
	z.object({
		type: z.literal('fault-ended'), at: z.number(), fault: z.number(), kind: z.string(), target: z.string(),
	}),
	z.object({
		type: z.literal('signalled'), at: z.number(), process: z.string(), signal: z.string(),
	}),
	z.object({
		type: z.literal('exited'), at: z.number(), process: z.string(), code: z.number().nullable(), signal: z.string().nullable(),
	}),
	z.object({
		type: z.literal('memory'), at: z.number(), process: z.string(), bytes: z.number(),
	}),
	z.object({
		type: z.literal('error-logged'), at: z.number(), process: z.string(), text: z.string(),
	}),
	z.object({
		type: z.literal('owner-elected'), at: z.number(), process: z.string(), fence: z.number(),
	}),
]);

export type FleetEvent = z.infer<typeof fleetEventSchema>;
export type SubmittedStep = z.infer<typeof submittedStepSchema>;
