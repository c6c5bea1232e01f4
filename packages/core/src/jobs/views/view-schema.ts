import {z} from 'zod';

/** State of a pool. Cores are in thousandths. */
const poolViewSchema = z.object({
	name: z.string(),
	spare: z.boolean(),
	/** Instances that the platform lists in the pool, in any state. */
	instances: z.number(),
	/** Workers that serve the pool. */
	workers: z.number(),
	/** Workers that may get tasks. */
	schedulable: z.number(),
	capacity: z.number(),
	used: z.number(),
	forecast: z.number(),
	/** Mean absolute difference of the last forecasts from the smoothed demand at the time that they were made for. */
	forecastError: z.number(),
	/** Instances that are moving to the pool, and away from it. */
	arriving: z.number(),
	departing: z.number(),
	/** Instances that the pool keeps while its demand is low. */
	kept: z.number(),
});

/** Usage and share of an organisation on a service for which organisations compete, in thousandths of a core. */
const shareViewSchema = z.object({
	service: z.string(), organisation: z.string(), weight: z.number(), used: z.number(), waiting: z.number(), share: z.number(),
});

/** Jobs of a service with tasks that wait to be placed. */
const backlogViewSchema = z.object({
	service: z.string(),
	jobs: z.number(),
	/** Work of their tasks that are not assigned to a worker, in core-seconds. */
	work: z.number(),
});

/** Waiting job: its service, id, place in the order of the service from 1, and work of the jobs before it in core-seconds. */
const waitingJobSchema = z.tuple([z.string(), z.string(), z.number(), z.number()]);

/** Jobs of a service that have waited for more than 1.5 s, by the reason. */
const waitCountSchema = z.object({service: z.string(), reason: z.string(), jobs: z.number()});

/** Job that has waited for more than 1.5 s: its id, the reason, and the wall-clock time in milliseconds since which it has waited. */
const jobWaitSchema = z.tuple([z.string(), z.string(), z.number()]);

/** View of the schedule that the owner publishes for operators. */
export const viewSchema = z.object({
	/** Term of the owner that has measured the view. */
	term: z.number(),
	pools: z.array(poolViewSchema),
	/** Jobs of each queue that have not started. */
	queues: z.record(z.string(), z.number()),
	shares: z.array(shareViewSchema),
	backlogs: z.array(backlogViewSchema),
	/** The first waiting jobs of each service. */
	jobs: z.array(waitingJobSchema),
	waitCounts: z.array(waitCountSchema).default([]),
	/** The jobs that have waited longest. */
	waits: z.array(jobWaitSchema).default([]),
});

export type View = z.infer<typeof viewSchema>;
export type PoolView = z.infer<typeof poolViewSchema>;
export type ShareView = z.infer<typeof shareViewSchema>;
export type BacklogView = z.infer<typeof backlogViewSchema>;
export type WaitCount = z.infer<typeof waitCountSchema>;
export type WaitingJob = z.infer<typeof waitingJobSchema>;
