import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {fullRetentionMs, maximumScannedWorkers, refusalIntervalMs} from '../constants.js';
import {type Node, type Task} from '../node/node.js';
import {countRoom} from './count-room.js';
import {type Worker} from './placement.js';

const choices = 2;

type Demand = {readonly slots: number; readonly repeatable: boolean; readonly at: number; readonly avoid: readonly string[]; readonly minimumRoom: number; readonly fullMs: number};

type Candidate = {readonly worker: Worker; readonly room: number};

function better(node: Node, best: Candidate | undefined, worker: Worker | undefined, demand: Demand): Candidate | undefined {
	if (worker === undefined || demand.avoid.includes(worker.instance.id)) {
		return best;
	}

	const room = countRoom(node, worker, demand);
	return room >= demand.minimumRoom && room > (best?.room ?? 0) ? {worker, room} : best;
}

function chooseAmong(node: Node, workers: readonly Worker[], demand: Demand): Worker | undefined {
	if (workers.length === 0) {
		return undefined;
	}

	let best: Candidate | undefined;
	for (let choice = 0; choice < choices; choice++) {
		best = better(node, best, workers[uniformInt(node.random, 0, workers.length - 1)], demand);
	}

	if (best !== undefined) {
		return best.worker;
	}

	const offset = uniformInt(node.random, 0, workers.length - 1);
	const count = Math.min(workers.length, maximumScannedWorkers);
	for (let step = 0; step < count; step++) {
		best = better(node, best, workers[(offset + step) % workers.length], demand);
	}

	return best?.worker;
}

/** A probe that is due goes first: an ejected worker has no free slots to win a comparison with. */
function chooseProbe(node: Node, pool: string, demand: Demand): Worker | undefined {
	const ejected = node.placement.ejected.get(pool);
	if (!demand.repeatable || ejected === undefined || ejected.size === 0) {
		return undefined;
	}

	let scanned = 0;
	for (const worker of ejected) {
		scanned += 1;
		if (scanned > maximumScannedWorkers) {
			return undefined;
		}

		if (!demand.avoid.includes(worker.instance.id) && countRoom(node, worker, demand) > 0) {
			return worker;
		}
	}

	return undefined;
}

/**
 * Chooses a worker for a task: two random choices by free slots in the node's own availability zone,
 * then a bounded search, then the other availability zones. Workers on which the task has failed
 * come last.
 *
 * @param node - the node; its random generator advances
 * @param task - the task
 * @param at - now, in milliseconds
 * @returns the worker, or `undefined` when none has room
 * @example
 * const worker = chooseWorker(node, task, at);
 */
export function chooseWorker(node: Node, task: Pick<Task, 'pool' | 'repeatable' | 'failedWorkers'>, at: number): Worker | undefined {
	const subset = node.placement.subsets.get(task.pool);
	if (subset === undefined) {
		return undefined;
	}

	const slots = node.snapshot.catalogue.pools[task.pool]?.limits.slotsPerInstance ?? 0;
	const demand = {
		slots, repeatable: task.repeatable, at, avoid: task.failedWorkers, minimumRoom: 1, fullMs: fullRetentionMs,
	};
	const {own, other} = subset;
	const worker = chooseProbe(node, task.pool, demand)
		?? chooseAmong(node, own, demand) ?? chooseAmong(node, other, demand);
	if (worker !== undefined) {
		return worker;
	}

	// Reports lag: workers that they show as full come next, then workers on which the task has failed.
	for (const avoid of [demand.avoid, []]) {
		const wider = {
			...demand, avoid, minimumRoom: 0, fullMs: refusalIntervalMs,
		};
		const found = chooseAmong(node, own, wider) ?? chooseAmong(node, other, wider);
		if (found !== undefined) {
			return found;
		}
	}

	return undefined;
}
