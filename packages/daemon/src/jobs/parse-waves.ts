import {z} from 'zod';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {wavesPrefix} from './keys.js';
import {parseWith} from './parse-with.js';

/**
 * Parses the instances of waves whose upkeep is finished.
 *
 * @param entries - entries below the prefix of waves
 * @returns names of instances by number of the wave
 * @example
 * parseWaves(listing.entries).get(1);
 */
export function parseWaves(entries: readonly Entry[]): Map<number, readonly string[]> {
	return new Map(entries.map(({key, value}) => [Number(key.slice(wavesPrefix.length)), parseWith(z.array(z.string()), value) ?? []]));
}
