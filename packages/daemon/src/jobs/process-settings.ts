import {z} from 'zod';

const addressSchema = z.object({host: z.string(), port: z.int().min(0).max(65_535)});

/** Settings of a process on an entry instance. All times are in milliseconds. */
export const processSettingsSchema = z.object({
	instance: z.string(),
	availabilityZone: z.string(),
	/** Address on which callers are served. */
	callers: addressSchema,
	/** Address of the readiness checks of the load balancer. */
	readiness: addressSchema,
	/** Address on which the metrics are served. */
	metrics: addressSchema,
	/** Size of the instance. The owner of the schedule needs more than the other processes. */
	size: z.object({
		/** Processor time that the process gets, in cores. */
		cores: z.number().positive().default(1),
		linkMegabitsPerSecond: z.number().positive().default(1000),
	}).prefault({}),
	/** What callers may make the process hold. No caller that waits for its answers reaches a limit. */
	limits: z.object({
		/** Connections of callers; beyond it the one that was idle for longest is closed. */
		maximumConnections: z.int().positive().default(1536),
		/** Requests of all callers without an answer. */
		maximumOpenRequests: z.int().positive().default(1536),
		/** Requests of one connection without an answer; beyond it the connection is not read. */
		maximumOpenRequestsPerConnection: z.int().positive().default(4),
		/** Bytes of all connections that were received and are not parsed yet; beyond it the connection with most of them is closed. */
		maximumWaitingBytes: z.int().positive().default(16 * 1024 * 1024),
		/** Bytes of the head of a request. */
		maximumHeadBytes: z.int().positive().default(4096),
		/** Bytes of the bodies of all requests without an answer; beyond it the largest one that is being received is refused. */
		maximumReceivedBytes: z.int().positive().default(8 * 1024 * 1024),
		/** Lines of the log about refused calls and closed connections, per second; the others are counted. */
		refusalLinesPerSecond: z.number().positive().default(200),
	}).prefault({}),
	bounds: z.object({
		/** Longest run lease that a worker accepts. */
		longestLeaseMs: z.number(),
		/** Upper bound on the time that a worker takes to stop a task. */
		stopMs: z.number(),
		/** How long before it is due an occurrence may start. */
		earlyMs: z.number(),
		/** Time from the request to stop until the process is killed. */
		shutdownMs: z.number(),
		/** Time within which a withdrawn API key must be refused by every process. */
		keyWithdrawalMs: z.number(),
		/** Time within which a new configuration must be in force in every process. */
		configurationMs: z.number(),
		/** How many times as long as near its data a task runs far from it; learned if absent. */
		farRatio: z.number().min(1).optional(),
	}),
});

export type ProcessSettings = z.infer<typeof processSettingsSchema>;

/** Settings as they are given, with or without limits on callers. */
export type GivenProcessSettings = Omit<ProcessSettings, 'limits'> & Partial<Pick<z.input<typeof processSettingsSchema>, 'limits'>>;
