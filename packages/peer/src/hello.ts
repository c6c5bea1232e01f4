/**
 * Hello message: the first frame in each direction, with the identity and protocol versions of the sender.
 */
import {z} from 'zod';

/** Protocol versions that this build supports. */
export const protocolVersions: readonly number[] = [1];

export const helloSchema = z.strictObject({
	type: z.literal('hello'),
	versions: z.array(z.int().min(1)).min(1).max(16),
	member: z.string().min(1).max(128),
	zone: z.string().min(1).max(64),
});

export type Hello = z.infer<typeof helloSchema>;
