import {z} from 'zod';

const resourcesSchema = z.object({
	cpuMillis: z.number().default(0),
	memoryMb: z.number().default(0),
	accelerators: z.number().default(0),
});

/** Rule under which only workers with a ticket may run a step; tickets are requested before placement. A request takes `decideMs`, and `eachMs` for each worker that it names. Each answer with tickets says how long they are valid. */
const ticketRuleSchema = z.object({
	decideMs: z.number().min(0),
	eachMs: z.number().min(0),
	validMs: z.number().min(0),
});

export const queueSchema = z.object({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string(),
	service: z.string(),
	/** 0 is the highest priority. */
	priority: z.int().default(0),
	/** Failed runs of a task after which its job fails. */
	maximumAttempts: z.int().min(1).default(1),
	/** The latency objective of a job is `stretch` times its critical path plus `targetLatencyMs`. */
	stretch: z.number().min(0).default(1),
	targetLatencyMs: z.number().min(0).default(0),
	openToAll: z.boolean().default(false),
	ticketRule: ticketRuleSchema.optional(),
});

export const poolSchema = z.object({
	name: z.string(),
	/** Workers reject tasks that exceed their capacity. */
	guardsCapacity: z.boolean().default(true),
	/** Instances of a spare pool are off and cost nothing. */
	spare: z.boolean().default(false),
});

export const organisationSchema = z.object({
	name: z.string(),
	keys: z.array(z.string()),
	/** Share of the fleet under contention, relative to the other organisations. */
	weight: z.number().min(0).default(1),
	/** Upper limit on the resources of tasks that run at the same time; 0 for none. */
	limit: resourcesSchema.default({cpuMillis: 0, memoryMb: 0, accelerators: 0}),
});

/** The operators' configuration in force. */
export const configurationSchema = z.object({
	version: z.number(),
	queues: z.array(queueSchema),
	pools: z.array(poolSchema),
	organisations: z.array(organisationSchema),
	maximumBodyBytes: z.int().min(1),
});

export type Resources = z.infer<typeof resourcesSchema>;
export type TicketRule = z.infer<typeof ticketRuleSchema>;
export type Queue = z.infer<typeof queueSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Organisation = z.infer<typeof organisationSchema>;
export type Configuration = z.infer<typeof configurationSchema>;
