/**
 * Records of the fleet in the store, below `<prefix>fleet/`. Times in records are UTC milliseconds,
 * because a record outlives the process whose monotonic clock could have measured it.
 */
import {z} from 'zod';
import {nameSchema} from '../catalogue/schema.js';

export const instanceStateSchema = z.enum(['in-service', 'draining', 'drained', 'rebooting', 'moving', 'suspect']);

/**
 * What an instance that is out of service is out for. `return` and `arrive` undrain it; `arrive`
 * marks an instance that has just joined its pool, whose service did not yet count on it.
 */
export const stepSchema = z.enum(['maintain', 'hold', 'move', 'lend', 'give-back', 'return', 'arrive']);

export const instanceRecordSchema = z.strictObject({
	pool: nameSchema,
	/** Pool that a lent instance goes back to; the home pool's budget is spent until then. */
	home: nameSchema.optional(),
	zone: z.string(),
	rack: z.string(),
	state: instanceStateSchema,
	/** Grows with each platform action, which is idempotent by (instance, generation). */
	generation: z.int().min(0),
	maintainedAt: z.number(),
	step: stepSchema.optional(),
	/** Pool that a move leads to. */
	target: nameSchema.optional(),
	/** Until when running work may finish, or the platform action may take. */
	deadlineAt: z.number().optional(),
	/** Reboots in a row after which the instance did not work. */
	failedReboots: z.int().min(0).default(0),
	/** What an operator asked for; the planner takes it up when the budget allows. */
	requested: z.enum(['drain', 'return', 'move']).optional(),
});

export const budgetRecordSchema = z.strictObject({
	/** Instances that planned steps hold out of service, with the step. */
	spent: z.record(z.string(), z.string()),
});

export const planPoolSchema = z.strictObject({
	/** Instances in the order of their maintenance, in waves of whole racks where the budget allows. */
	waves: z.array(z.array(z.string())),
	/** Instances that may be out of service at once for the plan. */
	concurrency: z.int().min(0),
	/** Instances of the spare pool that join the pool for the roll-out. */
	lent: z.array(z.string()),
});

export const planRecordSchema = z.strictObject({
	id: z.string(),
	status: z.enum(['running', 'paused', 'aborted']),
	createdAt: z.number(),
	pools: z.record(nameSchema, planPoolSchema),
});

export type InstanceState = z.infer<typeof instanceStateSchema>;
export type Step = z.infer<typeof stepSchema>;
export type InstanceRecord = z.infer<typeof instanceRecordSchema>;
export type BudgetRecord = z.infer<typeof budgetRecordSchema>;
export type PlanPool = z.infer<typeof planPoolSchema>;
export type PlanRecord = z.infer<typeof planRecordSchema>;

/** A record with the store revision at which it was read. */
export type Versioned<Value> = {readonly value: Value; readonly revision: number};
