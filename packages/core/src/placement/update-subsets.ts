import {minimumSubsetWorkers, subsetRedundancy} from '../constants.js';
import {hashText} from '../hash-text.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {type Worker} from './placement.js';

/** A consecutive part of the workers, in an order that all nodes share, so that the parts of all nodes cover all workers. */
function selectPart(workers: readonly Worker[], position: number, members: number): Worker[] {
	const size = Math.max(minimumSubsetWorkers, Math.ceil(workers.length * subsetRedundancy / members));
	if (size >= workers.length) {
		return [...workers];
	}

	const start = Math.floor(position * workers.length / members);
	return Array.from({length: size}, (_, index) => workers[(start + index) % workers.length]).filter(worker => worker !== undefined);
}

/**
 * Chooses, for each pool, the workers that this node sends to. Done when the instance list or the
 * members change, never for a request.
 *
 * @param node - the node, updated in place
 * @returns no effects
 * @example
 * updateSubsets(node);
 */
export function updateSubsets(node: Node): Effect[] {
	const {workers, byPool, subsets, ejected} = node.placement;
	// A node that is not listed yet takes its place among the members.
	const members = [...new Set([...node.placement.members, node.id])].toSorted();
	const position = members.indexOf(node.id);
	subsets.clear();
	ejected.clear();
	for (const [pool, ids] of byPool) {
		const own: Worker[] = [];
		const other: Worker[] = [];
		const excluded = new Set<Worker>();
		const hashed = ids.map(id => ({id, hash: hashText(id)}));
		hashed.sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1));
		for (const {id} of hashed) {
			const worker = workers.get(id);
			if (worker !== undefined) {
				(worker.instance.zone === node.zone ? own : other).push(worker);
				if (worker.health === 'ejected') {
					excluded.add(worker);
				}
			}
		}

		ejected.set(pool, excluded);
		subsets.set(pool, {own: selectPart(own, position, members.length), other: selectPart(other, position, members.length)});
	}

	return [];
}
