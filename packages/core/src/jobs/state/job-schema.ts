import {z} from 'zod';

/** A step of a job: a number of identical tasks that can start once the steps that it depends on are done. */
export const stepSchema = z.object({
	count: z.int().min(1),
	/** Thousandths of a core for each task. */
	cpuMillis: z.int().min(0).default(0),
	memoryMb: z.int().min(0).default(0),
	accelerators: z.int().min(0).default(0),
	/** Rough estimate of a task's run time. */
	estimatedMs: z.number().min(0).default(0),
	/** Positions of the steps whose tasks all have to be done first. */
	after: z.array(z.int().min(0)).default([]),
	checkpointing: z.boolean().default(false),
	/** The tasks make progress only while all of them run. */
	gang: z.boolean().default(false),
	/** The tasks run much faster on one rack. */
	sameRack: z.boolean().default(false),
	/** Label that a worker must have; empty for none. */
	requirement: z.string().default(''),
	/** Rack that holds the data; empty for none. */
	affinity: z.string().default(''),
	/** Largest number of tasks of one occurrence on one worker; 0 for any number. */
	antiAffinity: z.int().min(0).default(0),
	allowDuplicates: z.boolean().default(false),
	/** The tasks run until the job is cancelled. */
	longRunning: z.boolean().default(false),
	image: z.string().default(''),
	/** Target for the tail latency of the tasks towards their own users, in milliseconds; 0 for none. */
	targetMs: z.number().min(0).default(0),
	/** Best-effort tasks: they use cores that other tasks leave free, and reserve none. */
	fills: z.boolean().default(false),
	/** Disruption budget: number of tasks that may be down at the same time because of the system's own actions. */
	mayMiss: z.int().min(0).default(0),
});

/** An accepted job. Its payload, an opaque text that is passed along with every start of a task, is kept apart. */
export const jobSchema = z.object({
	id: z.string().min(1),
	queue: z.string(),
	service: z.string(),
	/** Organisation that the limits count for; empty on queues open to all. */
	organisation: z.string(),
	/** Time of acceptance in milliseconds since 1970. */
	acceptedAtMs: z.number(),
	steps: z.array(stepSchema).min(1),
	/** Policy of the queue at acceptance; the configuration in force overrides it while the queue exists. */
	priority: z.int().default(0),
	maximumAttempts: z.int().min(1).default(1),
	stretch: z.number().min(0).default(1),
	targetLatencyMs: z.number().min(0).default(0),
	/** Occurrences of a scheduled job; 0 for a job that runs once, at once. */
	repeatCount: z.int().min(0).default(0),
	startAtMs: z.number().default(0),
	intervalMs: z.number().default(0),
});

/** Stored progress: what has ended, and where tasks may run; never what is running. */
export const progressSchema = z.object({
	/** For each `occurrence.step` the positions of the tasks that are done. */
	done: z.record(z.string(), z.array(z.int())),
	/** For each `occurrence.step.position` the numbers of the runs that failed; a worker may report them again. */
	failures: z.record(z.string(), z.array(z.int())),
	/** For each `occurrence.step.position` the numbers of the runs during which a worker crashed, or may have crashed before a takeover; absent if there are none. */
	crashes: z.record(z.string(), z.array(z.int())).optional(),
	/** For each `occurrence.step.position` with a crash the number of runs that may have caused the latest one; absent where it is the only one. */
	suspects: z.record(z.string(), z.int()).optional(),
	/**
	 * For each `occurrence.step.position` of a task that runs for long the worker, the start time of its incarnation and the
	 * number of the run; absent if there are none. No other run of the task is ordered while it is stored.
	 */
	runs: z.record(z.string(), z.tuple([z.string(), z.number(), z.int()])).optional(),
	/** Services other than that of the acceptance to whose workers tasks may have been sent; absent if there are none. */
	otherServices: z.array(z.string()).optional(),
});

export const jobEndSchema = z.object({
	state: z.enum(['completed', 'failed', 'cancelled']),
	endedAtMs: z.number(),
});

/** Record of an ended job, from which callers are answered. */
export const endedJobSchema = jobEndSchema.extend({queue: z.string(), organisation: z.string()});

export type Step = z.infer<typeof stepSchema>;
export type Job = z.infer<typeof jobSchema>;
export type Progress = z.infer<typeof progressSchema>;
export type JobEnd = z.infer<typeof jobEndSchema>;
export type EndedJob = z.infer<typeof endedJobSchema>;
