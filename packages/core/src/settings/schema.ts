/**
 * Schema of a daemon's settings: its own addresses and availability zone, and the addresses of the platform.
 */
import {z} from 'zod';
import {nameSchema} from '../catalogue/schema.js';
import {maintenanceSettingsSchema} from '../maintenance/settings.js';

const addressSchema = z.strictObject({
	host: z.union([z.ipv4(), z.ipv6()]),
	port: z.int().min(0).max(65_535),
});

export const settingsSchema = z.strictObject({
	instance: nameSchema,
	zone: nameSchema,
	/** Address on which callers and operators are served. */
	http: addressSchema,
	/** Address on which other processes of the system are served. */
	peer: addressSchema.optional(),
	/** Secret that all processes of the system share, at least 32 characters. */
	peerSecret: z.string().min(32).optional(),
	store: z.strictObject({
		url: z.url(),
		/** Prefix of all store keys of the system. */
		prefix: z.string().regex(/^[a-z\d\-/]*\/$/).default('rosemaryquay/'),
	}),
	instanceList: z.strictObject({
		url: z.url(),
		intervalMs: z.int().min(50).default(1000),
	}),
	/** Key hashes of operators by name, for bootstrapping before the catalogue contains any operator. */
	operators: z.record(nameSchema, z.string().regex(/^[\da-f]{64}$/, 'expected the SHA-256 hash of a key as 64 hexadecimal digits')).default({}),
	metrics: z.strictObject({
		host: z.union([z.ipv4(), z.ipv6()]),
		port: z.int().min(1).max(65_535),
	}).optional(),
	maintenance: maintenanceSettingsSchema.prefault({}),
	log: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
		/** Whether to log the trace that `rosemaryquay audit` reads. */
		trace: z.boolean().default(false),
	}).prefault({}),
	limits: z.strictObject({
		headerBytes: z.int().min(1024).default(16_384),
		answerBytes: z.int().min(1024).default(8 * 1024 * 1024),
		/** Time between failing the readiness check and refusing new requests, in which the load balancer redirects callers. */
		readinessDelayMs: z.int().min(0).default(2000),
		/** Time limit of a graceful shutdown. */
		shutdownMs: z.int().min(0).default(30_000),
	}).prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
