/**
 * Schemas of the fleet records that are stored below `<prefix>fleet/`. Times are UTC milliseconds, because records
 * outlive the process that wrote them and with it that process's monotonic clock.
 */
import {z} from 'zod';
import {nameSchema} from '../catalogue/schema.js';

/**
 * State of an instance. `suspect`: a reboot failed repeatedly, or the platform could not undrain the instance; it stays out
 * of service until an operator requests its return. `drained`: out of service; the planner undrains it, unless its step is
 * `hold`.
 */
export const instanceStateSchema = z.enum(['in-service', 'draining', 'drained', 'rebooting', 'moving', 'suspect']);

/**
 * What the planner does with an instance that is out of service. Each step starts with a drain, except the last two.
 *
 * - `maintain`: reboots the instance and returns it to service.
 * - `hold`: keeps the instance drained on request of an operator, until an operator requests its return.
 * - `move`: moves the instance to another pool on request of an operator.
 * - `lend`: moves a spare instance to another pool for the roll-out.
 * - `give-back`: moves a lent instance back to its home pool.
 * - `return`: undrains the instance.
 * - `arrive`: undrains an instance that has just joined its pool and does not count against the availability budget of
 *   that pool yet.
 */
export const stepSchema = z.enum(['maintain', 'hold', 'move', 'lend', 'give-back', 'return', 'arrive']);

export const instanceRecordSchema = z.strictObject({
	pool: nameSchema,
	/** Pool that lent this instance and gets it back. The instance counts against the budget of this pool until then. */
	home: nameSchema.optional(),
	zone: z.string(),
	rack: z.string(),
	state: instanceStateSchema,
	/** Incremented for each platform action. Actions are idempotent by (instance, generation). */
	generation: z.int().min(0),
	maintainedAt: z.number(),
	step: stepSchema.optional(),
	/** Destination pool of a move. */
	target: nameSchema.optional(),
	/** Deadline of running work while draining, or of the reboot. */
	deadlineAt: z.number().optional(),
	/** Number of consecutive failed reboots. */
	failedReboots: z.int().min(0).default(0),
	/** Pending request of an operator, which the planner carries out when the availability budget allows. */
	requested: z.enum(['drain', 'return', 'move']).optional(),
});

export const budgetRecordSchema = z.strictObject({
	/** Instances that count against the budget, with the step that first made them count; `maintain` if there was none. */
	spent: z.record(z.string(), z.string()),
});

export const planPoolSchema = z.strictObject({
	/**
	 * Instances in maintenance order, grouped into waves that keep racks whole where the budget allows. A wave does not wait
	 * for the previous one to finish: its steps start as soon as `concurrency` allows.
	 */
	waves: z.array(z.array(z.string())),
	/** Number of instances that may be out of service at once while the plan runs. */
	concurrency: z.int().min(0),
	/** Spare instances that are lent to the pool for the roll-out. */
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

/** A record with its modification revision in the store. */
export type Versioned<Value> = {readonly value: Value; readonly revision: number};
