import {type Effect} from '../node/effect.js';
import {type EventOf, type ListedInstance} from '../node/event.js';
import {type Node} from '../node/node.js';
import {createWorker} from './create-worker.js';
import {type Worker} from './placement.js';
import {updateSubsets} from './update-subsets.js';

/**
 * Updates the listed workers when no identifier, pool or availability zone has changed: the subsets depend on these alone,
 * so that all workers need not be sorted again. Returns false when one has changed and the worker table must be rebuilt.
 */
function updateInPlace(workers: ReadonlyMap<string, Worker>, instances: readonly ListedInstance[]): boolean {
	if (workers.size !== instances.length) {
		return false;
	}

	for (const instance of instances) {
		const worker = workers.get(instance.id);
		if (worker?.instance.pool !== instance.pool || worker.instance.zone !== instance.zone) {
			return false;
		}

		worker.instance = instance;
	}

	return true;
}

/** Keeps workers that are no longer listed while tasks of this node run on them, so that their running tasks stay counted. */
function keepUnlisted(workers: Map<string, Worker>, known: ReadonlyMap<string, Worker>): void {
	for (const [id, worker] of known) {
		if (worker.running > 0 && !workers.has(id)) {
			worker.instance = {...worker.instance, state: 'leaving'};
			workers.set(id, worker);
		}
	}
}

/**
 * Replaces the worker table with a new instance list. The state of workers that stay listed is kept.
 *
 * @param node - the node, updated in place
 * @param event - the new list
 * @returns no effects
 * @example
 * recordInstances(node, {type: 'instances-listed', at: 0, instances: []});
 */
export function recordInstances(node: Node, event: EventOf<'instances-listed'>): Effect[] {
	const {workers, byPool} = node.placement;
	if (updateInPlace(workers, event.instances)) {
		return [];
	}

	const known = new Map(workers);
	workers.clear();
	byPool.clear();
	for (const instance of event.instances) {
		const worker = known.get(instance.id) ?? createWorker(instance);
		worker.instance = instance;
		workers.set(instance.id, worker);
		const ids = byPool.get(instance.pool);
		if (ids === undefined) {
			byPool.set(instance.pool, [instance.id]);
		} else {
			ids.push(instance.id);
		}
	}

	keepUnlisted(workers, known);
	return updateSubsets(node);
}
