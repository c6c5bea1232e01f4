/**
 * Schema of the catalogue that operators edit. Every entry has an owner, a class and limits.
 */
import {z} from 'zod';
import {defaultDeadlineMs, defaultQueuedPerTeam, maximumBodyBytes} from '../constants.js';

export const nameSchema = z.string().regex(/^[a-z\d](?:[a-z\d-]{0,62}[a-z\d])?$/, 'expected lower-case letters, digits and hyphens, at most 64');

const ownerSchema = z.string().min(1).max(200);

/** Urgent work has reserved slots; bulk work may be throttled and checkpointed. */
export const workClassSchema = z.enum(['urgent', 'standard', 'bulk']);

export const keySchema = z.strictObject({
	hash: z.string().regex(/^[\da-f]{64}$/, 'expected the SHA-256 hash of a key as 64 hexadecimal digits'),
	note: z.string().max(200).optional(),
});

export const organisationSchema = z.strictObject({
	owner: ownerSchema,
	class: workClassSchema.default('standard'),
	limits: z.strictObject({teams: z.int().min(1).default(100)}).prefault({}),
});

export const teamSchema = z.strictObject({
	owner: ownerSchema,
	class: workClassSchema.default('standard'),
	organisation: nameSchema,
	/** Weight of the team in the fair sharing of a full pool. */
	share: z.number().positive().max(1000),
	limits: z.strictObject({
		/** Upper limit of tasks that run at the same time in the whole fleet. */
		running: z.int().min(0).max(1_000_000),
		/** Requests that may wait in one process. */
		queued: z.int().min(0).default(defaultQueuedPerTeam),
	}),
	keys: z.record(nameSchema, keySchema).default({}),
});

export const serviceSchema = z.strictObject({
	owner: ownerSchema,
	class: workClassSchema.default('standard'),
	pool: nameSchema,
	limits: z.strictObject({
		/** Availability budget: instances that may be out of service at the same time, for any cause. */
		unavailable: z.int().min(0),
	}),
});

export const poolSchema = z.strictObject({
	owner: ownerSchema,
	class: workClassSchema.default('standard'),
	/** A spare pool lends instances to other pools during maintenance. */
	spare: z.boolean().default(false),
	limits: z.strictObject({
		slotsPerInstance: z.int().min(1).default(8),
		connectionsPerInstance: z.int().min(1).default(64),
	}).prefault({}),
	/** Daily hours, in UTC, in which no planned maintenance is done in the pool. */
	peakHours: z.array(z.strictObject({from: z.int().min(0).max(23), to: z.int().min(1).max(24)})).default([]),
});

export const queueSchema = z.strictObject({
	owner: ownerSchema,
	class: workClassSchema.default('standard'),
	service: nameSchema,
	/** An open queue accepts requests without a key and accounts them to `team`. */
	open: z.boolean().default(false),
	/** Team that requests without a key are accounted to. */
	team: nameSchema.optional(),
	/** Whether a request may run more than once. */
	repeatable: z.boolean().default(false),
	limits: z.strictObject({
		bodyBytes: z.int().min(0).max(maximumBodyBytes).default(1024 * 1024),
		deadlineMs: z.int().min(1).default(defaultDeadlineMs),
	}).prefault({}),
});

export const zoneSchema = z.strictObject({
	owner: ownerSchema,
	class: workClassSchema.default('standard'),
	region: nameSchema,
	withdrawn: z.boolean().default(false),
	limits: z.strictObject({
		/** Ramp-up time after which a restored availability zone takes its full share of the work. */
		returnMs: z.int().min(0).default(10_000),
	}).prefault({}),
});

export const operatorSchema = z.strictObject({
	owner: ownerSchema,
	class: workClassSchema.default('standard'),
	limits: z.strictObject({}).prefault({}),
	keys: z.record(nameSchema, keySchema).default({}),
});

/** Sections of the catalogue. Entries refer only to entries of earlier sections; `rankSection` relies on this order. */
export const sectionSchemas = {
	organisations: organisationSchema,
	teams: teamSchema,
	pools: poolSchema,
	services: serviceSchema,
	queues: queueSchema,
	zones: zoneSchema,
	operators: operatorSchema,
};

export const catalogueSchema = z.strictObject({
	organisations: z.record(nameSchema, organisationSchema).default({}),
	teams: z.record(nameSchema, teamSchema).default({}),
	pools: z.record(nameSchema, poolSchema).default({}),
	services: z.record(nameSchema, serviceSchema).default({}),
	queues: z.record(nameSchema, queueSchema).default({}),
	zones: z.record(nameSchema, zoneSchema).default({}),
	operators: z.record(nameSchema, operatorSchema).default({}),
});

export type Catalogue = z.infer<typeof catalogueSchema>;
export type Team = z.infer<typeof teamSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Queue = z.infer<typeof queueSchema>;
export type Zone = z.infer<typeof zoneSchema>;
export type WorkClass = z.infer<typeof workClassSchema>;
export type Section = keyof typeof sectionSchemas;
