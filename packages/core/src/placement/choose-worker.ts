import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {fullWorkerBackoffMs, maximumScannedWorkers, fullWorkerRetryIntervalMs} from '../constants.js';
import {type Node, type Task} from '../node/node.js';
import {scoreWorker} from './score-worker.js';
import {type Worker} from './placement.js';

/** Random workers that are compared first (power of two choices). */
const randomChoices = 2;

/** With a `minimumScore` of 1, workers that usage reports show as full are left out; a worker that scores 0 is never chosen. */
type Requirements = {readonly slots: number; readonly repeatable: boolean; readonly at: number; readonly avoid: readonly string[]; readonly minimumScore: number; readonly skipFullMs: number};

type Candidate = {readonly worker: Worker; readonly score: number};

function selectBetter(node: Node, best: Candidate | undefined, worker: Worker | undefined, requirements: Requirements): Candidate | undefined {
	if (worker === undefined || requirements.avoid.includes(worker.instance.id)) {
		return best;
	}

	const score = scoreWorker(node, worker, requirements);
	return score >= requirements.minimumScore && score > (best?.score ?? 0) ? {worker, score} : best;
}

function chooseAmong(node: Node, workers: readonly Worker[], requirements: Requirements): Worker | undefined {
	if (workers.length === 0) {
		return undefined;
	}

	let best: Candidate | undefined;
	for (let choice = 0; choice < randomChoices; choice++) {
		best = selectBetter(node, best, workers[uniformInt(node.random, 0, workers.length - 1)], requirements);
	}

	if (best !== undefined) {
		return best.worker;
	}

	const offset = uniformInt(node.random, 0, workers.length - 1);
	const count = Math.min(workers.length, maximumScannedWorkers);
	for (let step = 0; step < count; step++) {
		best = selectBetter(node, best, workers[(offset + step) % workers.length], requirements);
	}

	return best?.worker;
}

/** Chooses an ejected worker whose probe is due. It goes first, as it would lose every comparison by score. */
function chooseProbe(node: Node, pool: string, requirements: Requirements): Worker | undefined {
	const ejected = node.placement.ejected.get(pool);
	if (!requirements.repeatable || ejected === undefined || ejected.size === 0) {
		return undefined;
	}

	let scanned = 0;
	for (const worker of ejected) {
		scanned += 1;
		if (scanned > maximumScannedWorkers) {
			return undefined;
		}

		if (!requirements.avoid.includes(worker.instance.id) && scoreWorker(node, worker, requirements) > 0) {
			return worker;
		}
	}

	return undefined;
}

/**
 * Chooses a worker for a task, in this order:
 * 1. an ejected worker whose probe is due, for a repeatable task;
 * 2. in the node's own availability zone, the one with more free slots of two random workers, else the best of a bounded scan;
 * 3. the same in the other availability zones;
 * 4. a worker that usage reports show as full, chosen in the same way;
 * 5. a worker on which the task has failed, chosen in the same way.
 *
 * @param node - the node; its random generator advances
 * @param task - the task
 * @param at - now, in milliseconds
 * @returns the worker, or `undefined` when none can take the task
 * @example
 * const worker = chooseWorker(node, task, at);
 */
export function chooseWorker(node: Node, task: Pick<Task, 'pool' | 'repeatable' | 'failedWorkers'>, at: number): Worker | undefined {
	const subset = node.placement.subsets.get(task.pool);
	if (subset === undefined) {
		return undefined;
	}

	const slots = node.snapshot.catalogue.pools[task.pool]?.limits.slotsPerInstance ?? 0;
	const requirements = {
		slots, repeatable: task.repeatable, at, avoid: task.failedWorkers, minimumScore: 1, skipFullMs: fullWorkerBackoffMs,
	};
	const {own, other} = subset;
	const worker = chooseProbe(node, task.pool, requirements)
		?? chooseAmong(node, own, requirements) ?? chooseAmong(node, other, requirements);
	if (worker !== undefined) {
		return worker;
	}

	// Usage reports lag behind: workers that they show as full come next, then workers on which the task has failed.
	for (const avoid of [requirements.avoid, []]) {
		const relaxed = {
			...requirements, avoid, minimumScore: 0, skipFullMs: fullWorkerRetryIntervalMs,
		};
		const chosen = chooseAmong(node, own, relaxed) ?? chooseAmong(node, other, relaxed);
		if (chosen !== undefined) {
			return chosen;
		}
	}

	return undefined;
}
