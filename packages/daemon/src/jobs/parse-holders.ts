import {z} from 'zod';
import {type Holder} from '@rosemaryquay/core/jobs/scheduler';
import {parseWith} from './parse-with.js';

const holdersSchema = z.array(z.object({id: z.string(), address: z.string(), instance: z.string().default('')}));

/**
 * Parses the recorded holders.
 *
 * @param value - JSON text; undefined when nothing is recorded yet
 * @returns the holders
 * @example
 * parseHolders(undefined); // []
 */
export function parseHolders(value: string | undefined): Holder[] {
	return value === undefined ? [] : parseWith(holdersSchema, value) ?? [];
}
