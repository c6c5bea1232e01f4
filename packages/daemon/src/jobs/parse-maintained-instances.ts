import {z} from 'zod';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {wavesPrefix} from './keys.js';
import {parseStoredValue} from './parse-stored-value.js';

/**
 * Parses the stored lists of instances whose maintenance is finished.
 *
 * @param entries - entries below the prefix of waves
 * @returns names of instances by the number of their wave; an invalid list counts as empty
 * @example
 * parseMaintainedInstances(listing.entries).get(1);
 */
export function parseMaintainedInstances(entries: readonly Entry[]): Map<number, readonly string[]> {
	return new Map(entries.map(({key, value}) => [Number(key.slice(wavesPrefix.length)), parseStoredValue(z.array(z.string()), value) ?? []]));
}
