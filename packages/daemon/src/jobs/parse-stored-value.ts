import {type z} from 'zod';

/**
 * Parses a stored JSON value and validates it with a schema.
 *
 * @param schema - schema of the value
 * @param value - JSON text
 * @returns the value; undefined when the text is not JSON or does not match the schema, for example because another program has written it
 * @example
 * parseStoredValue(jobSchema, entry.value);
 */
export function parseStoredValue<Schema extends z.ZodType>(schema: Schema, value: string): z.infer<Schema> | undefined {
	try {
		const parsed = schema.safeParse(JSON.parse(value));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
