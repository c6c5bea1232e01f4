import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {catalogueSchema} from '../catalogue/schema.js';
import {createLimits} from '../limits/create-limits.js';
import {type Node} from './node.js';

/**
 * Creates the state of an entry instance with an empty catalogue at revision 0.
 *
 * @param options - identifier, availability zone, seed of the random generator, and prefix of the system's keys in the store
 * @returns the node
 * @example
 * const node = createNode({id: 'entry-1', zone: 'zone-a', seed: 1});
 */
export function createNode(options: {id: string; zone: string; seed?: number; prefix?: string}): Node {
	const {id, zone, seed = 1, prefix = 'rosemaryquay/'} = options;
	return {
		id,
		zone,
		random: xoroshiro128plus(seed),
		snapshot: createSnapshot(catalogueSchema.parse({}), 0),
		tasks: {
			byId: new Map(), attempts: new Map(), nextAttempt: 1, shuttingDown: false, shutdownReported: false,
		},
		limits: createLimits(prefix),
		shares: {pools: new Map()},
		placement: {workers: new Map(), byPool: new Map()},
		freshness: {confirmedAt: Number.NEGATIVE_INFINITY},
		membership: {
			peers: [], members: new Map(), sequence: 0, sentAt: Number.NEGATIVE_INFINITY,
		},
	};
}
