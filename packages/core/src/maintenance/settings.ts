/**
 * Settings of maintenance: the platform's pool actions, weights of plans, and times of steps.
 */
import {z} from 'zod';

export const weightsSchema = z.strictObject({
	/** Cost of an instance-hour of buffer. */
	buffer: z.number().min(0).default(1),
	/** Cost of an hour of roll-out time. */
	rollOutTime: z.number().min(0).default(1),
	/** Cost of a move. */
	moves: z.number().min(0).default(1),
});

export const maintenanceSettingsSchema = z.strictObject({
	/** Address of the platform's pool actions; without it this process does not plan. */
	poolActions: z.strictObject({url: z.url()}).optional(),
	weights: weightsSchema.prefault({}),
	/** Time that a step is expected to take. */
	stepMs: z.int().min(1000).default(1_200_000),
	/** Time that running work has to finish once an instance drains. */
	drainMs: z.int().min(0).default(600_000),
	/** Time after which a reboot counts as failed. */
	rebootMs: z.int().min(1000).default(900_000),
});

export type MaintenanceSettings = z.infer<typeof maintenanceSettingsSchema>;
