/**
 * Settings of a daemon: its own addresses and availability zone, and the platform's addresses.
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
	/** Address for callers and operators. */
	http: addressSchema,
	/** Address for other processes of the system. */
	peer: addressSchema.optional(),
	/** Secret that all processes of the system share, at least 32 characters. */
	peerSecret: z.string().min(32).optional(),
	store: z.strictObject({
		url: z.url(),
		/** Prefix of all keys of the system in the store. */
		prefix: z.string().regex(/^[a-z\d\-/]*\/$/).default('rosemaryquay/'),
	}),
	instanceList: z.strictObject({
		url: z.url(),
		intervalMs: z.int().min(50).default(1000),
	}),
	metrics: z.strictObject({
		host: z.union([z.ipv4(), z.ipv6()]),
		port: z.int().min(1).max(65_535),
	}).optional(),
	maintenance: maintenanceSettingsSchema.prefault({}),
	log: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	}).prefault({}),
	limits: z.strictObject({
		headerBytes: z.int().min(1024).default(16_384),
		answerBytes: z.int().min(1024).default(8 * 1024 * 1024),
		/** Time that a graceful shutdown may take. */
		shutdownMs: z.int().min(0).default(30_000),
	}).prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
