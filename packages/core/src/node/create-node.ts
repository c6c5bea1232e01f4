import {Heap} from 'heap-js';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createCatalogueState} from '../catalogue/create-catalogue-state.js';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {catalogueSchema} from '../catalogue/schema.js';
import {createMembership} from '../membership/create-membership.js';
import {createLimits} from '../limits/create-limits.js';
import {type Node} from './node.js';

/**
 * Creates the state of a process with an empty catalogue at revision 0.
 *
 * @param options - identifier, availability zone, seed of the random generator, prefix of all store keys,
 * time since the epoch in milliseconds at time 0 of the monotonic clock, and `soleHolder` for a node that
 * shares the upper limits with no other node
 * @returns the node
 * @example
 * const node = createNode({id: 'entry-1', zone: 'zone-a', seed: 1});
 */
export function createNode(options: {id: string; zone: string; seed?: number; prefix?: string; clockOriginMs?: number; soleHolder?: boolean}): Node {
	const {
		id, zone, seed = 1, prefix = 'rosemaryquay/', clockOriginMs = 0, soleHolder = false,
	} = options;
	return {
		id,
		zone,
		random: xoroshiro128plus(seed),
		snapshot: createSnapshot(catalogueSchema.parse({}), 0),
		tasks: {
			byId: new Map(), attempts: new Map(), shuttingDown: false, shutdownReported: false,
		},
		limits: createLimits(prefix, {soleHolder}),
		shares: {pools: new Map(), runTimes: new Map(), zones: new Map()},
		placement: {
			workers: new Map(), byPool: new Map(), subsets: new Map(), members: [], ejected: new Map(),
		},
		retries: {
			retryTokens: new Map(), scheduledRetries: new Heap((a, b) => a.at - b.at || a.sequence - b.sequence), nextSequence: 0, failures: new Map(),
		},
		deduplication: {
			prefix,
			clockOriginMs,
			pending: new Map(),
			buckets: new Map(),
			active: new Map(),
			cachedAnswers: new Map(),
			cachedAnswerCharacters: 0,
			nextBatchNumber: 1,
			writeAt: Number.NEGATIVE_INFINITY,
			completionWriteAt: Number.NEGATIVE_INFINITY,
			retryAt: Number.NEGATIVE_INFINITY,
			conflicts: 0,
		},
		freshness: {storeContactAt: Number.NEGATIVE_INFINITY, currentAt: Number.NEGATIVE_INFINITY, outageConfirmedAt: Number.NEGATIVE_INFINITY},
		membership: createMembership(),
		catalogue: createCatalogueState(),
	};
}
