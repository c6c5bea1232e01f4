import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createCatalogueState} from '../catalogue/create-catalogue-state.js';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {catalogueSchema} from '../catalogue/schema.js';
import {createMembership} from '../membership/create-membership.js';
import {type Node} from './node.js';

/**
 * Creates the state of an entry instance with an empty catalogue at revision 0.
 *
 * @param options - identifier, availability zone, and seed of the random generator
 * @returns the node
 * @example
 * const node = createNode({id: 'entry-1', zone: 'zone-a', seed: 1});
 */
export function createNode(options: {id: string; zone: string; seed?: number}): Node {
	const {id, zone, seed = 1} = options;
	return {
		id,
		zone,
		random: xoroshiro128plus(seed),
		snapshot: createSnapshot(catalogueSchema.parse({}), 0),
		tasks: {
			byId: new Map(), attempts: new Map(), nextAttempt: 1, shuttingDown: false, shutdownReported: false,
		},
		limits: {running: new Map()},
		shares: {pools: new Map(), runTimes: new Map(), zones: new Map()},
		placement: {workers: new Map(), byPool: new Map()},
		freshness: {confirmedAt: Number.NEGATIVE_INFINITY, currentAt: Number.NEGATIVE_INFINITY, awayAt: Number.NEGATIVE_INFINITY},
		membership: createMembership(),
		catalogue: createCatalogueState(),
	};
}
