/**
 * Maintenance settings: address of the platform's instance actions, cost weights of plans, and durations of steps.
 */
import {z} from 'zod';

export const weightsSchema = z.strictObject({
	/** Cost of one instance being out of service for one hour. */
	buffer: z.number().min(0).default(1),
	/** Cost of one hour of roll-out time. */
	rollOutTime: z.number().min(0).default(1),
	/** Cost of moving one instance between pools. */
	moves: z.number().min(0).default(1),
});

export const maintenanceSettingsSchema = z.strictObject({
	/** Address of the platform's API for draining, undraining, rebooting and moving instances. Without it, this process does not run the planner. */
	poolActions: z.strictObject({url: z.url()}).optional(),
	weights: weightsSchema.prefault({}),
	/** Expected duration of a maintenance step, from the start of the drain until the instance is back in service. */
	stepMs: z.int().min(1000).default(1_200_000),
	/** Time that running work has to finish after a drain starts. */
	drainMs: z.int().min(0).default(600_000),
	/** Timeout of a reboot. */
	rebootMs: z.int().min(1000).default(900_000),
});

export type MaintenanceSettings = z.infer<typeof maintenanceSettingsSchema>;
