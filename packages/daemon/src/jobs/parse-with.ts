import {type z} from 'zod';

/**
 * Parses a stored value.
 *
 * @param schema - what it has to be
 * @param value - JSON text
 * @returns the value; undefined for one that is not JSON or that another program has written
 * @example
 * parseWith(jobSchema, entry.value);
 */
export function parseWith<Schema extends z.ZodType>(schema: Schema, value: string): z.infer<Schema> | undefined {
	try {
		const parsed = schema.safeParse(JSON.parse(value));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
