import {minimumSubsetWorkers, subsetRedundancy} from '../constants.js';
import {hashText} from '../hash-text.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {type Worker} from './placement.js';

/** Selects consecutive workers from an order that is the same on all nodes, so that the subsets of all nodes cover all workers (deterministic subsetting). */
function selectSubset(workers: readonly Worker[], position: number, members: number): Worker[] {
	const size = Math.max(minimumSubsetWorkers, Math.ceil(workers.length * subsetRedundancy / members));
	if (size >= workers.length) {
		return [...workers];
	}

	const start = Math.floor(position * workers.length / members);
	return Array.from({length: size}, (_, index) => workers[(start + index) % workers.length]).filter(worker => worker !== undefined);
}

/**
 * Chooses, for each pool, the subset of workers that this node sends tasks to. Runs when the instance
 * list or the members change, never for a request.
 *
 * @param node - the node, updated in place
 * @returns no effects
 * @example
 * updateSubsets(node);
 */
export function updateSubsets(node: Node): Effect[] {
	const {workers, byPool, subsets, ejected} = node.placement;
	// This node counts as a member even while it is not listed yet.
	const members = [...new Set([...node.placement.members, node.id])].toSorted();
	const position = members.indexOf(node.id);
	subsets.clear();
	ejected.clear();
	for (const [pool, ids] of byPool) {
		const own: Worker[] = [];
		const other: Worker[] = [];
		const excluded = new Set<Worker>();
		const hashedIds = ids.map(id => ({id, hash: hashText(id)}));
		hashedIds.sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1));
		for (const {id} of hashedIds) {
			const worker = workers.get(id);
			if (worker !== undefined) {
				(worker.instance.zone === node.zone ? own : other).push(worker);
				if (worker.health === 'ejected') {
					excluded.add(worker);
				}
			}
		}

		ejected.set(pool, excluded);
		subsets.set(pool, {own: selectSubset(own, position, members.length), other: selectSubset(other, position, members.length)});
	}

	return [];
}
