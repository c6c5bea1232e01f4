import {z} from 'zod';
import {type LeaseHolder} from '@rosemaryquay/core/jobs/state/scheduler';
import {parseStoredValue} from './parse-stored-value.js';

const holdersSchema = z.array(z.object({
	id: z.string(), address: z.string(), instance: z.string().default(''), service: z.string().default(''), boundedStartedAtMs: z.number().default(0),
}));

/**
 * Parses the stored list of holders: workers that may run tasks started by this or an earlier owner of the schedule.
 *
 * @param value - JSON text; undefined when nothing is stored yet
 * @returns the holders; empty when the text is missing or invalid
 * @example
 * parseHolders(undefined); // []
 */
export function parseHolders(value: string | undefined): LeaseHolder[] {
	return value === undefined ? [] : parseStoredValue(holdersSchema, value) ?? [];
}
