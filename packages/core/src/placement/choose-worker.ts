import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {type Node} from '../node/node.js';
import {type Worker} from './placement.js';

const choices = 2;

function isEligible(node: Node, worker: Worker, slots: number): boolean {
	const {instance} = worker;
	const withdrawn = node.snapshot.catalogue.zones[instance.zone]?.withdrawn ?? false;
	return instance.state === 'live' && !withdrawn && worker.running < slots;
}

/**
 * Chooses a worker of a pool by the power of two random choices.
 *
 * @param node - the node; its random generator advances
 * @param pool - name of the pool
 * @returns the less loaded of two eligible workers, or `undefined` when there is none
 * @example
 * const worker = chooseWorker(node, 'web');
 */
export function chooseWorker(node: Node, pool: string): Worker | undefined {
	const slots = node.snapshot.catalogue.pools[pool]?.limits.slotsPerInstance ?? 0;
	const eligible: Worker[] = [];
	for (const id of node.placement.byPool.get(pool) ?? []) {
		const worker = node.placement.workers.get(id);
		if (worker !== undefined && isEligible(node, worker, slots)) {
			eligible.push(worker);
		}
	}

	let best: Worker | undefined;
	for (let choice = 0; choice < choices && eligible.length > 0; choice++) {
		const candidate = eligible[uniformInt(node.random, 0, eligible.length - 1)];
		if (candidate !== undefined && (best === undefined || candidate.running < best.running)) {
			best = candidate;
		}
	}

	return best;
}
